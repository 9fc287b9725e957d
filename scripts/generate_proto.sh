#!/usr/bin/env bash
# Generates the C++ code of the schema files into libs/proto. The result is
# committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
out=libs/proto/generated/gooseberryrock/proto
mkdir -p "$out"
protoc --proto_path=proto --cpp_out="$out" proto/*.proto
