#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."

number=$(basename "$case_folder")
program=target/apps/gbrnode
[ -x "$program" ] && [ -x "target/review/case-$number" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 115 "target/review/case-$number" "$program" "$folder" \
  "$case_folder/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
