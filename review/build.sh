#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases, in target/review.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin/*.cc "$source" \
    -o "target/review/case-$number"
done
