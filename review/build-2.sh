#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/[4-8]/main.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$source"
done
