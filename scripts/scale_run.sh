#!/usr/bin/env bash
# The control group against 100 to 9,400 hollow daemons: CSV and a plot (docs/CAPACITY.md).
# Usage: scripts/scale_run.sh [FOLDER=build/scale] [SIZES=100,300,1000,3000,9400] [MEMBERS=3]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build/scale}
sizes=${2:-100,300,1000,3000,9400}
members=${3:-3}
mkdir -p "$folder"
rm -f "$folder/scale.csv"
build/ramppond-scale --daemons "$sizes" --control-members "$members" --work-types 1300 --phase 6 \
  --folder "$folder/run" --csv "$folder/scale.csv"
gnuplot <<PLOT
set datafile separator ','
set terminal pngcairo size 900,420
set output '$folder/scale.png'
set logscale x
set xlabel 'daemons'
set ylabel 'percent of a core'
set y2label 'confirm to in force, p99 ms'
set y2tics
set key top left
plot '$folder/scale.csv' using 1:8 every ::1 with linespoints title 'leader, 0.5 changes/s', \
  '' using 1:15 every ::1 with linespoints title 'leader, 5 changes/s', \
  '' using 1:13 every ::1 axes x1y2 with linespoints title 'p99, 0.5 changes/s'
PLOT
column -s, -t "$folder/scale.csv"
