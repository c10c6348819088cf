#!/usr/bin/env bash
# Builds the program of each case, with all its stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" \
    -o "target/review/case-$number"
done
