#!/usr/bin/env bash
# Measures an entry and an agent: time from start to the ready line, and resident memory after ten seconds.
# Usage: processes.sh DIRECTORY_OF_PROGRAMS SITE_FILE_WITH_PORTS ENTRY AGENT
set -euo pipefail
programs=$1 site=$2
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
start() {
  local label=$1 begin end
  shift
  begin=$(date +%s%N)
  "$@" --settings "$site" > "$work/$label" &
  pids+=($!)
  until grep -q '"ready":true' "$work/$label"; do sleep 0.002; done
  end=$(date +%s%N)
  echo "$label: ready after $(((end - begin) / 1000)) us"
}
start standin "$programs/platform-standin"
start entry "$programs/persimmondoor" entry --name "$3"
start agent "$programs/persimmondoor" agent --name "$4"
sleep 10
for index in 1 2; do
  grep VmRSS "/proc/${pids[$index]}/status" | sed "s/^/$([ "$index" = 1 ] && echo entry || echo agent): /"
done
