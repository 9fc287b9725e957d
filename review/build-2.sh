#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=target/review-2
readonly COMMON=(review/standin-2/{http,record,tier,searcher}.cc)
mkdir -p "$OUT"
for name in early_loss first_start lost_leave; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "$OUT/$name" \
    "review/standin-2/$name.cc" "${COMMON[@]}"
done
