#!/usr/bin/env bash
# Fails if a decision source (<slice>/src/decisions/*.cpp) includes, directly or indirectly, a header for encoding
# messages or for sockets.
set -euo pipefail
cd "$(dirname "$0")/.."
includes=(-Iplatform/standins)
for slice in */include; do includes+=("-I$slice" "-I${slice%/include}/src"); done
failed=0
checked=0
for source in */src/decisions/*.cpp; do
  checked=$((checked + 1))
  dependencies=$(g++ -std=c++20 -M "${includes[@]}" "$source") || { echo "$source: its headers cannot be found"; failed=1; }
  found=$(tr ' \\' '\n\n' <<<"$dependencies" | grep -E '/(capnp|kj|boost/asio|boost/beast|boost/json)/' | head -3 || true)
  [ -z "$found" ] || { echo "$source includes a codec or socket header:"; echo "$found"; failed=1; }
done
[ "$checked" -gt 0 ] || { echo "no decision sources found"; exit 1; }
[ "$failed" = 0 ] && echo "include check: $checked decision sources, clean" >&2
exit $failed
