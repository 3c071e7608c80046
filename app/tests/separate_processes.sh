#!/usr/bin/env bash
# Runs the system as separate processes over TCP: the stand-ins, two entries and three agents. Sends requests through both
# entries, then stops all processes and checks that each exits with code 0.
# Usage: separate_processes.sh DIRECTORY_OF_PROGRAMS
set -euo pipefail
programs=$1
work=$(mktemp -d)
ip="127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).1"
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

worker() {
  echo "{ \"name\": \"worker-$1\", \"domain\": \"domain-$2\", \"rack\": \"rack-1\", \"cores\": 64, \"memory_gb\": 250, \"accelerators\": 0, \"rpc\": \"$ip:730$1\",
    \"endpoints\": [ { \"name\": \"packs-$1\", \"service\": \"packs\", \"team\": \"lankacell\", \"address\": \"$ip:740$1\", \"slots\": 8, \"connections\": 64 } ] }"
}
entry() {
  echo "{ \"name\": \"entry-$1\", \"domain\": \"domain-$2\", \"http\": \"$ip:710$1\", \"operators\": \"$ip:715$1\", \"rpc\": \"$ip:720$1\" }"
}
cat > "$work/site.json" <<JSON
{ "cell": "test", "platform": "$ip:7000",
  "entries": [ $(entry 1 a), $(entry 2 b) ],
  "workers": [ $(worker 1 a), $(worker 2 b), $(worker 3 c) ],
  "teams": { "lankacell": { "services": { "packs": { "tier": "paying", "deadline_ms": 2000 } }, "quota": { "cores": 100, "memory_gb": 100, "accelerators": 0 } } } }
JSON

start() {
  local log="$work/$1"
  shift
  "$@" --settings "$work/site.json" > "$log.out" 2> "$log.err" &
  pids+=($!)
  for _ in $(seq 100); do
    grep -q '"ready":true' "$log.out" && return
    sleep 0.05
  done
  echo "not ready: $*"; cat "$log.err"; exit 1
}

start standin "$programs/platform-standin"
for number in 1 2; do start "entry-$number" "$programs/persimmondoor" entry --name "entry-$number"; done
for number in 1 2 3; do start "agent-$number" "$programs/persimmondoor" agent --name "worker-$number"; done

# Sends a request through an entry over a plain TCP connection and prints the response with its headers.
request() {
  exec 3<> "/dev/tcp/$ip/710$1"
  printf 'POST /services/packs/cells HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello' >&3
  cat <&3
  exec 3>&-
}

for number in 1 2; do
  for _ in $(seq 50); do
    answer=$(request "$number")
    grep -q '^HTTP/1.1 200' <<< "$answer" && break
    sleep 0.1
  done
  grep -q 'Persimmondoor-Outcome: done' <<< "$answer"
  grep -q '"body":"hello"' <<< "$answer"
done

kill -TERM "${pids[@]}"
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
echo "separate processes: requests answered, all processes stopped with exit code 0"
