#!/usr/bin/env bash
# Generates C++ code from the schema files into libs/proto. The generated code is
# committed, so that builds do not need protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
out=libs/proto/generated/gooseberryrock/proto
mkdir -p "$out"
protoc --proto_path=proto --cpp_out="$out" proto/*.proto
