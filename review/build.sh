#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/out. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in [0-9]*/case.cpp; do
  name=${source%/case.cpp}
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "out/case-$name" "$source" common/stand_ins.cpp
done
