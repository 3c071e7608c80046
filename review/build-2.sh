#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, one program a case. Run it after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -e "$folder/Case.cc" ] || continue
  main=target/review-2/main-$(basename "$folder").cpp
  printf '#include <boost/json/src.hpp>\n#include "%s/Case.cc"\n\nint main()\n{\n    return review::runCase();\n}\n' "$folder" >"$main"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-restrict -DBOOST_ASIO_NO_DEPRECATED -I. "$main" -o "target/review-2/case-$(basename "$folder")" -pthread &
done
for job in $(jobs -p); do wait "$job"; done
