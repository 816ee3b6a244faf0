#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
number=$(basename "$PWD")
[ -x "$root/target/ramppond-proxy" ] && [ -x "$root/target/ramppond-coordinator" ] || exit 2
[ -x "../out/case-$number" ] || ../build.sh || exit 2
timeout -k 2 115 "../out/case-$number" "$root/target" "$PWD/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
