#!/usr/bin/env bash
# Checks how the instructions of a round of placement grow with the members of the waiting jobs and with their number, also of the
# first round after a takeover and of other decisions about many tasks: n log n at most, which sorted containers take. From 100 to 1000
# members that is 1500 percent, from 30 to 300 jobs 1680.
#
#   check_cost.sh BENCH_ROUND
set -euo pipefail
bench=$1

instructions() {
  valgrind --tool=callgrind --instr-atstart=no --callgrind-out-file=/dev/null "$bench" "$@" 2>&1 | sed -n 's/.*Collected : //p'
}

failed=0
# compare WHAT SMALL LARGE PERCENT: at ten times the size a round takes at most PERCENT of the instructions.
compare() {
  echo "$1: $2 instructions, $3 at ten times the size"
  [ $(($3 * 100)) -le $(($2 * $4)) ] || { echo "$1: grew beyond $4 percent"; failed=1; }
}

workers=12
for kind in gang bounded image lasting takeover check long-check cancel orders refuse; do
  compare "$kind, members" "$(instructions $kind $workers 100 4)" "$(instructions $kind $workers 1000 4)" 1500
  compare "$kind, jobs" "$(instructions $kind $workers 30 30)" "$(instructions $kind $workers 30 300)" 1680
done
exit $failed
