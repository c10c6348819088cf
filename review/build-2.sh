#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/play.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra "$source" \
    -o "target/review-2/case-$number" -pthread
done
