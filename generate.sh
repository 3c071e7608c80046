#!/usr/bin/env bash
# Generates the Cap'n Proto code of every slice from <slice>/schema into <slice>/generated.
# With --check, fails if the committed code differs from the newly generated code.
set -euo pipefail
cd "$(dirname "$0")"
for schema in */schema/*.capnp; do
  slice=${schema%%/*}
  mkdir -p "$slice/generated"
  capnp compile -I/usr/include --src-prefix="$slice/schema" -o"c++:$slice/generated" "$schema"
done
if [ "${1:-}" = --check ]; then
  git diff --exit-code --stat -- '*/generated/*'
  [ -z "$(git status --porcelain -- '*/generated/*')" ] || { echo "generated code is not committed"; exit 1; }
fi
