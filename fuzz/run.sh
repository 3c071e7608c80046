#!/usr/bin/env bash
# Runs a fuzz target over its corpus and a bounded number of inputs with a fixed seed. New inputs that the fuzzer finds
# are written to a temporary folder and removed.
# Usage: run.sh PROGRAM CORPUS RUNS
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
mkdir found
"$1" -runs="$3" -seed=20261204 -max_len=4096 -timeout=10 -rss_limit_mb=2048 found "$2" 2> log || { tail -40 log; exit 1; }
grep -E 'Done|INITED' log
