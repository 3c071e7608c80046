#!/usr/bin/env bash
# Checks how the instructions of the leader's decisions grow with the fleet. An agent's report must not grow with the
# number of workers, the placement of a task at most linearly, and an update of the interference estimates at most with the
# square of the number of images.
#
#   check_cost.sh BENCH_LEADER
set -euo pipefail
bench=$1

instructions() {
  valgrind --tool=callgrind --instr-atstart=no --callgrind-out-file=/dev/null "$bench" "$@" 2>&1 | sed -n 's/.*Collected : //p'
}

failed=0
# check STEP SMALL LARGE FACTOR: the step at LARGE takes at most FACTOR, in percent, of what it takes at SMALL.
check() {
  local small large
  small=$(instructions "$1" "$2")
  large=$(instructions "$1" "$3")
  echo "$1: $small instructions at $2, $large at $3"
  [ $((large * 100)) -le $((small * $4)) ] || { echo "$1: grew beyond $4 percent"; failed=1; }
}

check reading 30 300 125
check start 30 300 1050
check observe 10 30 1000
exit $failed
