#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "target/review/$(basename "$source" .cc).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -pthread target/review/*.o -o target/review/case
