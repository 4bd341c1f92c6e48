#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = platform ] && continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" \
    "$source" review/standin-2/platform.cpp
done
