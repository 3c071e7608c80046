#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/15; the program comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/world review/standins-3/world.cc
