#!/usr/bin/env bash
# Installs the Debian packages that are needed to build and test. Does nothing
# when all of them are installed.
set -euo pipefail

readonly PACKAGES=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl jq
  libcxxtools-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  libboost-dev libcli11-dev liblog4cplus-dev zlib1g-dev nlohmann-json3-dev libxxhash-dev
  libsodium-dev libgtest-dev libgmock-dev libbenchmark-dev gnuplot-nox
)

missing=()
for package in "${PACKAGES[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
if [ "$(id -u)" -ne 0 ]; then
  echo "error: these packages are missing; run as root: apt-get install" \
    "${missing[*]}" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y -q "${missing[@]}" >/dev/null
