#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests by ctest.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_deps.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
scripts/check_known_red.sh build
scripts/run_ctest.sh build
