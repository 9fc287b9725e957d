#!/usr/bin/env bash
# Installs the packages, builds, starts three nodes and nine stand-in backend
# servers on loopback, creates a service, runs searches and a booking, and
# prints a short latency table. Stops everything at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BASE_PORT="${GBR_BASE_PORT:-17100}"
readonly TOKEN="quickstart-operator-token"
readonly DOMAINS=(a b c)
readonly NODE_COUNT=3
readonly STANDIN_COUNT=9
work=""
pids=()

fail() {
  echo "error: $*" >&2
  exit 1
}

# Allows one run at a time for each base port. The lock is released when this
# process exits.
take_lock() {
  local file="${TMPDIR:-/tmp}/gooseberryrock-quickstart-$BASE_PORT.lock"
  exec 9>"$file" || fail "cannot write the lock file $file"
  flock --nonblock 9 ||
    fail "another quick start is running with ports from $BASE_PORT;" \
      "wait for it or set GBR_BASE_PORT"
}

http_port() { echo $((BASE_PORT + $1)); }
peer_port() { echo $((BASE_PORT + 10 + $1)); }
standin_port() { echo $((BASE_PORT + 20 + $1)); }
control_port() { echo $((BASE_PORT + 40 + $1)); }

all_ports() {
  local i
  for ((i = 0; i < NODE_COUNT; ++i)); do
    http_port "$i"
    peer_port "$i"
  done
  for ((i = 0; i < STANDIN_COUNT; ++i)); do
    standin_port "$i"
    control_port "$i"
  done
}

check_ports() {
  local port
  for port in $(all_ports); do
    if (exec 8<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      fail "port $port is in use; set GBR_BASE_PORT to the first of 60 free" \
        "ports"
    fi
  done
}

build() {
  scripts/install_packages.sh || fail "the packages could not be installed"
  cmake --preset default >/dev/null
  cmake --build --preset default --target gbrctl gbrnode gbrstandin \
    gbrload | tail -1
}

stop_all() {
  local pid status=$?
  # A second signal must not interrupt the wait for the processes.
  trap - EXIT
  trap '' INT TERM
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  # Exit codes of 128 and above mean termination by a signal.
  if [ "$status" -ne 0 ] && [ "$status" -lt 128 ] && [ -n "$work" ]; then
    echo "the logs are in $work" >&2
  else
    rm -rf "$work"
  fi
  exit "$status"
}

# Prints the other nodes as elements of the JSON array "peers".
peers_of() {
  local i=$1 j separator=""
  for ((j = 0; j < NODE_COUNT; ++j)); do
    if [ "$j" -ne "$i" ]; then
      printf '%s{"node": "node-%s", "failure_domain": "%s", "control": true,
    "peer_address": {"host": "127.0.0.1", "port": %s}}' \
        "$separator" "${DOMAINS[$j]}" "${DOMAINS[$j]}" "$(peer_port "$j")"
      separator=", "
    fi
  done
}

write_settings() {
  local i=$1
  cat >"$work/node-$i.json" <<JSON
{
  // Written by scripts/quickstart.sh.
  "cluster": "quickstart",
  "node": "node-${DOMAINS[$i]}",
  "failure_domain": "${DOMAINS[$i]}",
  "http_address": {"host": "127.0.0.1", "port": $(http_port "$i")},
  "peer_address": {"host": "127.0.0.1", "port": $(peer_port "$i")},
  "data_folder": "$work/data-$i",
  "peers": [$(peers_of "$i")],
  "cluster_key": "quickstart-cluster-key-of-32-byte",
  "operator_token": "$TOKEN"
}
JSON
}

node_addresses() {
  local i
  for ((i = 0; i < NODE_COUNT; ++i)); do
    echo "127.0.0.1:$(http_port "$i")"
  done
}

start_node() {
  local i=$1
  write_settings "$i"
  build/apps/gbrnode --settings "$work/node-$i.json" \
    2>"$work/node-$i.log" 9>&- &
  pids+=($!)
}

# Server n holds shard n / 3 and is in failure domain n % 3, so that each shard
# has a server in each failure domain.
start_standin() {
  local n=$1
  # shellcheck disable=SC2046
  build/apps/gbrstandin --id "chairs-$n" --service chairs \
    --failure-domain "${DOMAINS[$((n % 3))]}" \
    --port "$(standin_port "$n")" --control-port "$(control_port "$n")" \
    --shards "s$((n / 3))" \
    --nodes $(node_addresses) 2>"$work/standin-$n.log" 9>&- &
  pids+=($!)
}

wait_until_ready() {
  local i tries
  for ((i = 0; i < NODE_COUNT; ++i)); do
    for ((tries = 0; ; ++tries)); do
      if curl -sf -o /dev/null "http://127.0.0.1:$(http_port "$i")/readyz"; then
        break
      fi
      if [ "$tries" -ge 100 ]; then
        tail -n 5 "$work/node-$i.log" >&2
        fail "node $i is not ready after 10 s"
      fi
      sleep 0.1
    done
  done
}

# Sends an operator command to the last node; any node accepts it.
gbrctl() {
  GBR_OPERATOR_TOKEN="$TOKEN" build/apps/gbrctl \
    --node "127.0.0.1:$(http_port $((NODE_COUNT - 1)))" "$@"
}

create_service() {
  cat >"$work/chairs.json" <<JSON
{
  "name": "chairs",
  "layouts": [{"version": 1, "shards": ["s0", "s1", "s2"]}]
}
JSON
  gbrctl service put "$work/chairs.json"
  gbrctl wait 1
}

# Usage: query <port> <text> <curl option>...
query() {
  local port=$1 text=$2
  shift 2
  curl -sS -H "Gbr-Request-Id: $(date +%s%3N)-$RANDOM$RANDOM" \
    -H "Gbr-Deadline-Ms: 500" -H "Gbr-Rank: urgent" "$@" \
    -d "{\"text\": \"$text\"}" "http://127.0.0.1:$port/v1/query/chairs"
}

search() {
  query "$1" "free chair" -H "Gbr-Idempotent: true"
}

book() {
  query "$1" "book chair 12 at 10:30" -H "Gbr-Idempotent: false" \
    -H "Gbr-Routing-Key: chair-12"
}

# The servers announce themselves every 500 ms.
wait_for_complete_answers() {
  local i tries
  for ((i = 0; i < NODE_COUNT; ++i)); do
    for ((tries = 0; ; ++tries)); do
      if search "$(http_port "$i")" | grep -q '"status":"complete"'; then
        break
      fi
      [ "$tries" -lt 100 ] || fail "node $i has no complete answer after 10 s"
      sleep 0.1
    done
  done
}

print_answer() {
  jq -c '{status, reason, coverage, rows}'
}

main() {
  local i
  take_lock
  build
  check_ports
  work=$(mktemp -d)
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  for ((i = 0; i < NODE_COUNT; ++i)); do start_node "$i"; done
  for ((i = 0; i < STANDIN_COUNT; ++i)); do start_standin "$i"; done
  wait_until_ready
  echo "== create the service"
  create_service
  wait_for_complete_answers
  echo "== a search through each node"
  for ((i = 0; i < NODE_COUNT; ++i)); do
    search "$(http_port "$i")" | print_answer
  done
  echo "== a booking"
  book "$(http_port 0)" | print_answer
  echo "== latency over three seconds"
  # shellcheck disable=SC2046
  build/apps/gbrload --nodes $(node_addresses) --service chairs --seconds 3 \
    --rates 60 30 30 --booking-share 0.1
  echo "== stop"
}

main
