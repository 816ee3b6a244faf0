#!/usr/bin/env bash
# Installs, builds, and runs the Brigalow fleet as real processes for about 20 s: 3 control members,
# 12 daemons with their back ends, the platform's list, callers, and an operator who plans and
# confirms a change. Exit 0 only if every promise held.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_deps.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
build/ramppond-fleet run deploy/brigalow.toml --duration 20 "$@"
