#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
  name=$(basename "$(dirname "$case")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$case" \
    review/standin/harness.cpp -o "target/review/case$name"
done
