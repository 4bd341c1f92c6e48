#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, after the build
# of the deploy file. Needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in raised_limit split_answer; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" \
    "review/standin-3/$name.cpp" review/standin-3/standin.cpp
done
