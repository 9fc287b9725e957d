#!/usr/bin/env bash
# Installs the packages, builds, starts three nodes and nine stand-in backend
# servers on loopback, creates a service and runs searches.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake --preset default >/dev/null
cmake --build --preset default --target gbrnode gbrstandin | tail -1

readonly BASE_PORT="${GBR_BASE_PORT:-17100}"
readonly TOKEN="quickstart-operator-token"
readonly DOMAINS=(a b c)
work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

http_port() { echo $((BASE_PORT + $1)); }

write_settings() {
  local i=$1
  cat >"$work/node-$i.json" <<JSON
{
  // Written by scripts/quickstart.sh.
  "cluster": "quickstart",
  "node": "node-${DOMAINS[$i]}",
  "failure_domain": "${DOMAINS[$i]}",
  "http_address": {"host": "127.0.0.1", "port": $(http_port "$i")},
  "peer_address": {"host": "127.0.0.1", "port": $((BASE_PORT + 10 + i))},
  "cluster_key": "quickstart-cluster-key-of-32-byte",
  "operator_token": "$TOKEN"
}
JSON
}

operator_call() {
  local port=$1 call=$2 body=$3
  curl -sS -H "Authorization: Bearer $TOKEN" -d "$body" \
    "http://127.0.0.1:$port/v1/operator/$call"
}

query() {
  local port=$1 id=$2 text=$3
  shift 3
  curl -sS -H "Gbr-Request-Id: $id" -H "Gbr-Deadline-Ms: 500" \
    -H "Gbr-Rank: urgent" -H "Gbr-Idempotent: true" "$@" \
    -d "{\"text\": \"$text\"}" "http://127.0.0.1:$port/v1/query/chairs"
}

nodes=()
for i in 0 1 2; do
  write_settings "$i"
  build/apps/gbrnode --settings "$work/node-$i.json" 2>"$work/node-$i.log" &
  pids+=($!)
  nodes+=("127.0.0.1:$(http_port "$i")")
done
for n in 0 1 2 3 4 5 6 7 8; do
  build/apps/gbrstandin --id "chairs-$n" --service chairs \
    --failure-domain "${DOMAINS[$((n % 3))]}" --port $((BASE_PORT + 20 + n)) \
    --nodes "${nodes[@]}" --shards "s$((n / 3))" 2>"$work/standin-$n.log" &
  pids+=($!)
done
sleep 1.5
for i in 0 1 2; do
  operator_call "$(http_port "$i")" SubmitCommand '{
    "command_id": "create-chairs", "expected_version": 0,
    "put_service": {"name": "chairs",
      "layouts": [{"version": 1, "shards": ["s0", "s1", "s2"]}]}}'
  echo
done
for i in 0 1 2; do
  query "$(http_port "$i")" "search-$i" "free chair"
  echo
done
