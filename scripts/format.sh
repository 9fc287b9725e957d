#!/usr/bin/env bash
# Formats all C++ sources of the project, or checks them with --check.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run --Werror)
fi
git ls-files --cached --others --exclude-standard '*.h' '*.cc' |
  grep -v '\.pb\.' | while read -r file; do
  if [ -e "$file" ]; then echo "$file"; fi
done | xargs -r clang-format "${mode[@]}"
