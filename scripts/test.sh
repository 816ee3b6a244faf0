#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests by ctest.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_deps.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet

# Tests that are red for a known fault: "NAME: cause: issue", one a line, three at most.
known_red=()
if [ -s KNOWN-RED.txt ]; then
  mapfile -t known_red < <(cut -d: -f1 KNOWN-RED.txt)
  [ "${#known_red[@]}" -le 3 ] || { echo "KNOWN-RED.txt: at most three tests" >&2; exit 1; }
  echo "Passed over, known to be red:"
  cat KNOWN-RED.txt
fi
excluded=$(IFS='|'; echo "${known_red[*]:-}")
ctest --test-dir build -j "$(nproc)" --output-on-failure ${excluded:+-E "^($excluded)\$"} |
  grep -vE '^ *Start |Passed +[0-9.]+ sec$' | cut -c 1-200
