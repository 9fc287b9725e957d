#!/usr/bin/env bash
# Runs clang-tidy over all C++ sources of the project, or over the files named
# as arguments. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cc' | grep -v '\.pb\.')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
