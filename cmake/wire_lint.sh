#!/usr/bin/env bash
# Fails if a name from the protocol of the users' platform is used outside platform/, the only slice that translates it.
set -euo pipefail
cd "$(dirname "$0")/.."
names='untilMs|ackedUpto|rows-tx|rows-get|rows-feed|setKeys|deleteKeys|precondition|run-start|run-stop|clockMs|coldLeftMs|heartbeatAddr|remainingMs"|pathPrefix"|maxPerServer|estRuntimeMs|targetLatencyMs|savesProgress"|requiredLabel"|dataRack"|longRunning"|memMb|machine-move|machine-upkeep|Persimmondoor-Expect|Persimmondoor-Fencing|[Mm]inion'
found=$(git ls-files -co --exclude-standard -- '*.cpp' '*.h' '*.capnp' | grep -vE '^platform/|/generated/' | while read -r file; do [ -e "$file" ] && echo "$file"; done | xargs grep -nE "$names" || true)
[ -z "$found" ] || { echo "names of the platform outside platform/:"; echo "$found"; exit 1; }
echo "wire names: only in platform/" >&2
