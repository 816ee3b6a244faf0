#!/usr/bin/env bash
# Runs every simulated scenario over fresh seeds until the time is up, on all cores.
# Usage: scripts/soak.sh [MINUTES=10] [FIRST_SEED=1000]
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-10}
first=${2:-1000}
end=$((SECONDS + minutes * 60))
log=$(mktemp)

jobs_of_round() {
  for deployment in brigalow portal; do
    for scenario in $(build/ramppond-sim list | awk '{print $1}'); do
      echo "$deployment $scenario $1"
    done
  done
}

seed=$first
while [ "$SECONDS" -lt "$end" ]; do
  jobs_of_round "$seed" | xargs -P "$(nproc)" -L 1 bash -c \
    'build/ramppond-sim run --deployment deploy/$0.toml --scenario $1 --seeds $2-$2 || true' >>"$log"
  seed=$((seed + 1))
done
echo "seeds $first to $((seed - 1)) of every scenario on two deployments, $minutes minutes"
grep -c 'seeds kept every promise' "$log" | sed 's/$/ runs/'
broken=$(grep -c ': 0 of 1 seeds kept' "$log" || true)
echo "$broken runs broke a promise"
grep -A 60 'broken promises$\|did not come up' "$log" | head -n 200 || true
[ "$broken" -eq 0 ]
