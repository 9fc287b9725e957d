#!/usr/bin/env bash
# Installs the packages, builds, checks formatting, lints and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

# Lets checkouts in different folders share entries of the compiler cache.
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1

stage() {
  echo "== $1 (after ${SECONDS} s)"
}

stage "packages"
scripts/install_packages.sh
stage "format"
scripts/format.sh --check
stage "build"
cmake --preset default >/dev/null
cmake --build --preset default -- -k 0
stage "lint"
scripts/lint.sh
stage "unit tests with AddressSanitizer and UndefinedBehaviorSanitizer"
cmake --preset asan >/dev/null
cmake --build --preset asan --target unit_tests
scripts/run_tests.sh build-asan -L unit -j 4
stage "all tests"
scripts/run_tests.sh build -j 4
stage "done"
