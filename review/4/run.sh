#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/build-review-2/case-$(basename "$folder")
for needed in "$program" "$root/target/ramppond-proxy" "$root/target/ramppond-coordinator"; do
  [ -x "$needed" ] || { echo "missing: $needed" >&2; exit 2; }
done
timeout -k 5 110 "$program" "$folder" "$root"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
