#!/usr/bin/env bash
# Runs clang-tidy on all C++ sources of the project, or on the files given as
# arguments. Needs a completed build in build/. A file that passed is checked again
# only when it, a project header that it includes, the clang-tidy rules or the
# installed packages have changed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ROOT="$PWD"
readonly CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/gooseberryrock-lint"
mkdir -p "$CACHE"

# Hash of the rules, the tools and the installed packages with their headers.
base=$({
  cat .clang-tidy cmake/*.cmake
  clang-tidy --version
  dpkg-query -W
} | sha256sum)
readonly base

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cc' | grep -v '\.pb\.')
fi

# One line for each object file: its source and the project files that the source
# includes. With CCACHE_BASEDIR the compiler names them relative to build/.
includes=$(mktemp)
todo=$(mktemp)
trap 'rm -f "$includes" "$todo"' EXIT
ninja -C build -t deps | awk -v root="$ROOT/" '
  /^[^ ]/ { if (line != "") print line; line = "" }
  /^    / {
    file = ""
    if (index($1, root) == 1) {
      file = substr($1, length(root) + 1)
    } else if (index($1, "../") == 1) {
      file = substr($1, 4)
    }
    if (file != "") {
      line = line (line == "" ? "" : " ") file
    }
  }
  END { if (line != "") print line }' | sort -u >"$includes"

for file in "${files[@]}"; do
  list=$(awk -v file="$file" '$1 == file { print; exit }' "$includes")
  key=$({
    echo "$base"
    # shellcheck disable=SC2086
    sha256sum ${list:-$file}
  } | sha256sum | cut -d' ' -f1)
  # A file that is not part of the build has no known list of headers, so it is
  # always checked.
  if [ -z "$list" ] || [ ! -e "$CACHE/$key" ]; then
    echo "$file $CACHE/$key" >>"$todo"
  fi
done

echo "linting $(wc -l <"$todo") of ${#files[@]} files"
xargs -r -P "$(nproc)" -L 1 sh -c \
  'clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option "$0" \
    2>/dev/null && touch "$1"' <"$todo"
find "$CACHE" -type f -mtime +30 -delete
