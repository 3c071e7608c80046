#!/usr/bin/env bash
# Writes the site files examples/lankacell.json and examples/sorteos.json: 11 workers, up to three in each of four racks,
# each rack in its own failure domain. All ports are 0, so that `persimmondoor local` chooses free ones.
set -euo pipefail
cd "$(dirname "$0")"

write_site() { # cell service cores memory_gb deadline_ms trial_service
  echo "{"
  echo "  \"cell\": \"$1\","
  echo "  \"platform\": \"127.0.0.1:0\","
  echo "  \"entries\": ["
  echo "    { \"name\": \"entry-1\", \"domain\": \"domain-a\", \"http\": \"127.0.0.1:0\", \"operators\": \"127.0.0.1:0\", \"rpc\": \"127.0.0.1:0\" },"
  echo "    { \"name\": \"entry-2\", \"domain\": \"domain-b\", \"http\": \"127.0.0.1:0\", \"operators\": \"127.0.0.1:0\", \"rpc\": \"127.0.0.1:0\" }"
  echo "  ],"
  echo "  \"workers\": ["
  local domains=(a b c d) index domain number
  for index in $(seq 0 10); do
    domain=${domains[$((index / 3))]}
    number=$(printf %02d $((index + 1)))
    echo "    {"
    echo "      \"name\": \"worker-$number\", \"domain\": \"domain-$domain\", \"rack\": \"rack-${domain}1\","
    echo "      \"cores\": $3, \"memory_gb\": $4, \"accelerators\": 0, \"rpc\": \"127.0.0.1:0\","
    echo "      \"endpoints\": ["
    echo "        { \"name\": \"$2-$number\", \"service\": \"$2\", \"team\": \"$1\", \"address\": \"127.0.0.1:0\", \"slots\": 8, \"connections\": 64 }"
    echo "      ]"
    if [ "$index" -lt 10 ]; then echo "    },"; else echo "    }"; fi
  done
  echo "  ],"
  echo "  \"teams\": {"
  echo "    \"$1\": {"
  echo "      \"services\": { \"$2\": { \"tier\": \"paying\", \"deadline_ms\": $5,"
  echo "        \"objective\": { \"share\": 0.999, \"latency_ms\": $(($5 / 2)), \"window_hours\": 720 } } },"
  echo "      \"quota\": { \"cores\": $(($3 * 8)), \"memory_gb\": $(($4 * 8)), \"accelerators\": 0 }"
  echo "    }"
  echo "  }"
  echo "}"
}

write_site lankacell packs 64 250 500 > lankacell.json
write_site sorteos draws 32 125 300 > sorteos.json
