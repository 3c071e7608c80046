#!/usr/bin/env bash
# Drives separate processes by the command line: changes of settings with and without a valid token, a conflicting change,
# invalid input, a rollback and the report. Then restarts an entry, stops the store, and restarts the other entry without
# it. Guards against settings that revert to an earlier revision after a restart or a store outage.
# Usage: operators_processes.sh DIRECTORY_OF_PROGRAMS
set -euo pipefail
programs=$1
work=$(mktemp -d)
ip="127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).2"
declare -A pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
fail() { echo "failed: $*"; cat "$work"/*.err; exit 1; }

digest=$(printf %s lanka-token | sha256sum | cut -d' ' -f1)
cat > "$work/site.json" <<JSON
{ "cell": "test", "platform": "$ip:7000",
  "entries": [
    { "name": "entry-1", "domain": "a", "http": "$ip:7101", "operators": "$ip:7151", "rpc": "$ip:7201" },
    { "name": "entry-2", "domain": "b", "http": "$ip:7102", "operators": "$ip:7152", "rpc": "$ip:7202" } ],
  "workers": [
    { "name": "worker-1", "domain": "a", "rack": "r", "cores": 64, "memory_gb": 250, "accelerators": 0, "rpc": "$ip:7301",
      "endpoints": [ { "name": "packs-1", "service": "packs", "team": "lankacell", "address": "$ip:7401", "slots": 8, "connections": 64 } ] } ],
  "operators": { "nimali": { "token_sha256": "$digest", "branches": [ "lankacell" ] } },
  "teams": { "lankacell": { "services": { "packs": { "tier": "paying", "deadline_ms": 2000,
      "objective": { "share": 0.9, "latency_ms": 1000, "window_hours": 720 } } }, "quota": { "cores": 8, "memory_gb": 8, "accelerators": 0 } } } }
JSON

start() {
  local label=$1
  shift
  "$@" --settings "$work/site.json" > "$work/$label.out" 2> "$work/$label.err" &
  pids[$label]=$!
  for _ in $(seq 200); do
    grep -q '"ready":true' "$work/$label.out" && return
    sleep 0.05
  done
  fail "$label is not ready"
}
start_entry() { start "entry-$1" "$programs/persimmondoor" entry --name "entry-$1"; }
stop() {
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2> /dev/null || true
  unset "pids[$1]"
}
# Runs `persimmondoor ctl` and checks its exit code; stores the output in $output.
ctl() {
  local expected=$1 code=0
  shift
  output=$("$programs/persimmondoor" ctl "$@" 2>&1) || code=$?
  [ "$code" = "$expected" ] || fail "ctl $*: exit code $code instead of $expected: $output"
}
# Repeats a `persimmondoor ctl` command until its output contains the text.
await_output() {
  local text=$1
  shift
  for _ in $(seq 300); do
    output=$("$programs/persimmondoor" ctl "$@" 2>&1) || true
    grep -q "$text" <<< "$output" && return
    sleep 0.1
  done
  fail "ctl $*: no $text in: $output"
}

start standin "$programs/platform-standin"
start_entry 1
start_entry 2
start agent "$programs/persimmondoor" agent --name worker-1
one=(--entry "$ip:7151")
two=(--entry "$ip:7152")
token=(--token lanka-token)
await_output '"revision":1' settings get lankacell "${one[@]}"
await_output worker-1 workers "${one[@]}"

ctl 1 settings set lankacell services.packs.deadline_ms=700 "${one[@]}"
ctl 1 settings set lankacell services.packs.deadline_ms=700 "${one[@]}" --token wrong
echo '{ "services": {}, "quota": { "cores": 1, "memory_gb": 1, "accelerators": 0 } }' > "$work/foreign.json"
ctl 1 settings set sorteos --file "$work/foreign.json" "${one[@]}" "${token[@]}"
grep -q forbidden <<< "$output" || fail "a change of a foreign branch was not refused: $output"
ctl 2 settings set lankacell services.packs.deadline_ms=0 services.packs.colour=red "${one[@]}" "${token[@]}"
grep -q 'services.packs.colour: unknown key' <<< "$output" && grep -q 'services.packs.deadline_ms' <<< "$output" || fail "the output does not list all faults: $output"
head -c 20000 /dev/zero | tr '\0' '[' > "$work/deep.json"
ctl 2 settings validate lankacell --file "$work/deep.json" "${one[@]}"
ctl 0 settings set lankacell services.packs.deadline_ms=700 --dry-run "${one[@]}" "${token[@]}"
ctl 0 settings set lankacell services.packs.deadline_ms=700 --write-id w-1 --expect 1 --wait "${one[@]}" "${token[@]}"
ctl 0 settings set lankacell services.packs.deadline_ms=700 --write-id w-1 --expect 1 "${one[@]}" "${token[@]}"
grep -q '"revision":2' <<< "$output" || fail "repeating a change made a new revision: $output"
ctl 4 settings set lankacell services.packs.deadline_ms=900 --expect 1 "${one[@]}" "${token[@]}"
await_output '"revision":2' settings get lankacell "${two[@]}"
ctl 0 settings rollback lankacell 1 "${two[@]}" "${token[@]}"
await_output '"revision":3' settings get lankacell "${one[@]}"

exec 3<> "/dev/tcp/$ip/7101"
printf 'GET /services/packs/a HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n' >&3
grep -q '200' <&3 || fail "no answer to a request"
exec 3>&-
await_output '"requests":1' report --json "${one[@]}"
ctl 0 report --format html --output "$work/burn.html" "${one[@]}"
grep -q '<svg' "$work/burn.html" || fail "no plot"
ctl 3 workers --entry "$ip:7999"
ctl 0 workers --entry "$ip:7999" "${one[@]}"

stop entry-1 KILL
start_entry 1
await_output '"revision":3' settings get lankacell "${one[@]}"
stop standin KILL
ctl 1 settings set lankacell services.packs.deadline_ms=800 "${one[@]}" "${token[@]}"
grep -q 'nothing was changed' <<< "$output" || fail "the output does not say that nothing was changed: $output"
stop entry-2 KILL
start_entry 2
await_output '"revision":3' settings get lankacell "${two[@]}"
stop agent TERM
echo "operators: changes, refusals, restarts and a store outage as expected"
