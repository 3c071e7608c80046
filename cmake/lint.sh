#!/usr/bin/env bash
# Runs clang-tidy on all sources of the project in parallel. A file is checked again only if its preprocessed text or the
# linter's configuration has changed since it was last found clean.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir=${1:-build}
mkdir -p "$build_dir/lint"

lint_one() {
  local file=$1 command key
  command=$(python3 - "$build_dir" "$file" <<'PY'
import json, os, shlex, sys
for entry in json.load(open(os.path.join(sys.argv[1], "compile_commands.json"))):
    if os.path.realpath(entry["file"]) == os.path.realpath(sys.argv[2]):
        words = [w for w in shlex.split(entry["command"]) if not w.endswith("ccache")]
        for flag in ("-o", "-MT", "-MF"):
            if flag in words:
                at = words.index(flag)
                del words[at:at + 2]
        print(shlex.join([w for w in words if w not in ("-c", "-MD")] + ["-E", "-P"]))
        break
PY
  )
  [ -n "$command" ] || { echo "$file is part of no target"; return 1; }
  key=$( (cat .clang-tidy; eval "$command") 2>/dev/null | sha256sum | cut -d' ' -f1)
  [ -e "$build_dir/lint/$key" ] && return 0
  clang-tidy --quiet -p "$build_dir" "$file" 2> >(grep -v 'warnings generated\|warning generated\|Suppressed\|Use -header-filter' >&2) || return 1
  touch "$build_dir/lint/$key"
}
export -f lint_one

git ls-files -co --exclude-standard -- '*.cpp' | grep -v '/generated/' | while read -r f; do [ -e "$f" ] && echo "$f"; done \
  | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "linter: clean" >&2
