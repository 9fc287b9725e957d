#!/usr/bin/env bash
# Measures and plots the cost slopes of docs/CAPACITY.md. Needs a completed build.
# Usage: scripts/measure_capacity.sh [output folder]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly STANDIN_COUNT=32
readonly BASE_PORT="${GBR_BASE_PORT:-17300}"
out="${1:-build/capacity}"
mkdir -p "$out"
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

ports=()
for ((n = 0; n < STANDIN_COUNT; ++n)); do
  port=$((BASE_PORT + n))
  # Announcements go to an unused port: gbrcapacity gets the stand-ins' ports as
  # arguments.
  build/apps/gbrstandin --id "server-$n" --service capacity \
    --failure-domain a --port "$port" --control-port $((port + 100)) \
    --shards "s$n" --nodes 127.0.0.1:1 2>/dev/null &
  pids+=($!)
  ports+=("$port")
done
sleep 1
build/apps/gbrcapacity --standin-ports "${ports[@]}" --csv "$out/capacity.csv"
build/tests/query/decision_cost_bench | grep -E '^[a-z]' || true
gnuplot -e "csv='$out/capacity.csv'; svg='$out/capacity.svg'" \
  scripts/plot_capacity.gp
echo "plot: $out/capacity.svg"
