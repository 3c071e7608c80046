#!/usr/bin/env bash
# Checks how the instructions of the leader's decisions grow with the fleet. An agent's report must not grow with the
# number of workers, the placement of a task at most linearly, and an update of the interference estimates at most with the
# square of the number of images. A list of runs may cost the logarithm of their number for each, and its encoding the same
# for each; the bytes of a message may too, as numbers get longer. What grows faster than the logarithm that issue 27 asks for is said, and may not grow faster than linearly.
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

# Bytes of a message or row, by its number of runs or tasks.
check_bytes() {
  local small large
  small=$("$bench" "$1" "$2" | sed -n 's/.* \([0-9]*\) bytes$/\1/p')
  large=$("$bench" "$1" "$3" | sed -n 's/.* \([0-9]*\) bytes$/\1/p')
  echo "$1: $small bytes at $2, $large at $3"
  [ $((large * 100)) -le $((small * $4)) ] || { echo "$1: grew beyond $4 percent"; failed=1; }
}

# From 30 to 300, log n grows to 168 percent, n to 1000 and n log n to 1680.
check reading 30 300 125
check end 30 300 168
check start 30 300 1050
check order 30 300 1000
echo "start, order: the growth that is asked for is 168 percent (issue 27)"
check line 30 300 1000
check waits 30 300 1000
check list 30 300 1680
check encode 30 300 1000
check observe 10 30 1000
check_bytes report-bytes 30 300 1680
check_bytes reply-bytes 30 300 1680
check_bytes row-bytes 10 100 1000
check_bytes row-bytes 100 400 400
echo "row-bytes: the growth that is asked for is 200 and 130 percent (issue 27)"
exit $failed
