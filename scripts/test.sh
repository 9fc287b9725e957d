#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
echo "== format"
scripts/format.sh --check
echo "== build"
cmake --preset default >/dev/null
cmake --build --preset default -- -k 0
echo "== lint"
scripts/lint.sh
echo "== unit tests with AddressSanitizer and UndefinedBehaviorSanitizer"
cmake --preset asan >/dev/null
cmake --build --preset asan --target unit_tests
scripts/run_tests.sh build-asan -L unit -j 4
echo "== all tests"
scripts/run_tests.sh build -j 2
