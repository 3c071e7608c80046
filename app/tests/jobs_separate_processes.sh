#!/usr/bin/env bash
# Runs batch jobs in separate processes and drives them with `persimmondoor ctl`: a job is submitted at one entry,
# completes on the agents, and is shown and explained at the other entry. Also checks repeated, refused and cancelled
# submissions, a quota change, and the drain and restore of a failure domain with two concurrent operators.
# Usage: jobs_separate_processes.sh DIRECTORY_OF_PROGRAMS
set -euo pipefail
programs=$1
work=$(mktemp -d)
ip="127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).2"
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

worker() {
  echo "{ \"name\": \"worker-$1\", \"domain\": \"domain-$2\", \"rack\": \"rack-1\", \"cores\": 4, \"memory_gb\": 16, \"accelerators\": 0, \"rpc\": \"$ip:730$1\", \"endpoints\": [] }"
}
entry() {
  echo "{ \"name\": \"entry-$1\", \"domain\": \"domain-$2\", \"http\": \"$ip:710$1\", \"operators\": \"$ip:715$1\", \"rpc\": \"$ip:720$1\" }"
}
cat > "$work/site.json" <<JSON
{ "cell": "test", "platform": "$ip:7000",
  "entries": [ $(entry 1 a), $(entry 2 b) ],
  "workers": [ $(worker 1 a), $(worker 2 b), $(worker 3 c) ],
  "teams": { "lankacell": { "services": {}, "quota": { "cores": 100, "memory_gb": 100, "accelerators": 0 } } } }
JSON

start() {
  local log="$work/$1"
  shift
  "$@" --settings "$work/site.json" > "$log.out" 2> "$log.err" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '"ready":true' "$log.out" && return
    sleep 0.05
  done
  echo "not ready: $*"; cat "$log.err"; exit 1
}
ctl() { # ENTRY WORDS...
  local number=$1
  shift
  "$programs/persimmondoor" ctl "$@" --entry "$ip:715$number"
}
# Repeats a check for at most 60 s.
eventually() {
  for _ in $(seq ${RETRIES:-120}); do
    "$@" > "$work/last" 2>&1 && return
    sleep 0.5
  done
  echo "not true within the limit: $*"; cat "$work/last"; tail -n 5 "$work"/*.err; exit 1
}

start standin "$programs/platform-standin"
for number in 1 2; do start "entry-$number" "$programs/persimmondoor" entry --name "entry-$number"; done
for number in 1 2 3; do start "agent-$number" "$programs/persimmondoor" agent --name "worker-$number"; done

echo '{ "id": "rebuild-7", "team": "lankacell", "command": "sleep 200", "cores": 1, "memory_gb": 1, "tasks": 5, "tier": "paying" }' > "$work/job.json"
eventually ctl 1 job submit "$work/job.json"
# Submitting the same job again is idempotent; a different job under its id is refused.
ctl 2 job submit "$work/job.json"
sed 's/sleep 200/sleep 300/' "$work/job.json" > "$work/other.json"
! ctl 2 job submit "$work/other.json" 2> /dev/null

finished() { ctl 2 job show lankacell:rebuild-7 --json | grep -q '"phases":{"finished":5}'; }
eventually finished
ctl 1 job explain lankacell:rebuild-7 | grep -q 'finished with exit code 0'
ctl 1 job list | grep -q 'lankacell:rebuild-7'

echo '{ "id": "too-large", "team": "lankacell", "command": "sleep 1", "cores": 64, "memory_gb": 1 }' > "$work/large.json"
ctl 1 job submit "$work/large.json"
unplaceable() { ctl 1 job show lankacell:too-large --json | grep -q '"unplaceable":1'; }
eventually unplaceable

echo '{ "id": "watch", "team": "lankacell", "command": "sleep 600000", "cores": 1, "memory_gb": 1, "tasks": 3, "spread": { "level": "domain", "maximum": 1 } }' > "$work/watch.json"
ctl 1 job submit "$work/watch.json"
running() { ctl 1 job show lankacell:watch --json | grep -q '"running":3'; }
eventually running

# Both operators change the domain from version 0, as it has no row yet, so only the first change is accepted.
ctl 1 domain drain domain-a --version 0
if ctl 2 domain drain domain-a --version 0 2> "$work/conflict"; then echo "the concurrent change of the second operator was not refused"; exit 1; fi
left() { ! ctl 1 job show lankacell:watch --json | grep -q '"worker":"worker-1"'; }
eventually left
ctl 2 domain status | grep domain-a | grep -q drained
ctl 2 domain restore domain-a
eventually running

ctl 2 job cancel lankacell:watch
cancelled() { ctl 1 job show lankacell:watch --json | grep -q '"phases":{"cancelled":3}'; }
eventually cancelled

# A quota that is changed at run time applies to jobs: no task starts above it; waiting tasks start when it is raised.
ctl 1 settings set lankacell quota.cores=1 --wait
echo '{ "id": "quota", "team": "lankacell", "command": "sleep 600000", "cores": 1, "memory_gb": 1, "tasks": 2 }' > "$work/quota.json"
ctl 1 job submit "$work/quota.json"
waits() { ctl 1 job explain lankacell:quota | grep -q 'exceeds the quota' && ctl 1 job show lankacell:quota --json | grep -q '"running":1'; }
eventually waits
ctl 2 settings set lankacell quota.cores=100 --wait
both() { ctl 2 job show lankacell:quota --json | grep -q '"running":2'; }
eventually both
ctl 1 job cancel lankacell:quota

kill -TERM "${pids[@]}"
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
echo "jobs in separate processes: completed, refused, drained, restored, cancelled, held to a quota"
