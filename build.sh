#!/usr/bin/env bash
# Installs dependencies, builds, tests, runs and checks the project.
#
#   ./build.sh install           install the packages that the build needs
#   ./build.sh build             install what is missing and build the release
#   ./build.sh run [FLAGS...]    build and start the whole system on loopback
#   ./build.sh test              build and pass all tests
#   ./build.sh format [--check]  format the sources, or fail if they are not formatted
#   ./build.sh lint              run the linter and the include check
set -euo pipefail
cd "$(dirname "$0")"

packages=(g++ cmake ninja-build ccache clang-format clang-tidy valgrind clang libclang-rt-14-dev capnproto libcapnp-dev
  libboost1.81-dev libboost-json1.81-dev libboost-test1.81-dev libabsl-dev libcxxopts-dev libeasyloggingpp-dev
  librapidcheck-dev libbenchmark-dev libssl-dev)
build_dir=${BUILD_DIR:-build}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

install_packages() {
  local missing=() package
  for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return
  apt-get update -q >&2
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >&2
}

build() {
  install_packages
  cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=Release >&2
  ninja -C "$build_dir" -j "${BUILD_JOBS:-$(nproc)}" >&2
}

sources() { git ls-files -co --exclude-standard -- '*.cpp' '*.h' | grep -v '/generated/' | while read -r file; do [ -e "$file" ] && echo "$file"; done; }

format() {
  if [ "${1:-}" = --check ]; then
    sources | xargs clang-format --dry-run --Werror
  else
    sources | xargs clang-format -i
  fi
}

# Prints the names of the tests in KNOWN-RED.txt as a regular expression; prints nothing if there are none.
known_red() { sed -n 's/^\([A-Za-z0-9_]\{1,\}\) *|.*/\1/p' KNOWN-RED.txt | paste -sd '|'; }

case "${1:-}" in
install) install_packages ;;
build) build ;;
run)
  shift
  build
  [ $# -gt 0 ] || set -- --settings examples/lankacell.json
  exec "$build_dir/persimmondoor" local "$@"
  ;;
test)
  build
  red=$(known_red)
  ctest --test-dir "$build_dir" --output-on-failure -j "${TEST_JOBS:-4}" ${red:+-E "^($red)\$"}
  ;;
format) format "${2:-}" ;;
lint)
  build
  cmake/lint.sh "$build_dir"
  cmake/include_lint.sh "$build_dir"
  cmake/wire_lint.sh
  ;;
*)
  sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
  exit 2
  ;;
esac
