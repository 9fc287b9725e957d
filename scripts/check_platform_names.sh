#!/usr/bin/env bash
# Fails when a name of the platform's protocol is used outside the adapter in
# platform/, the deploy files and their tests, which include tests/process/tier_*.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly NAMES='Server-(Leaving|Limit)|X-(Key|Tenant|Warmup-Ms|Request-Id|Deadline-Ms|Target-Instance|Server-Stamp|Part-Stamps|Missing-Parts|Not-Executed|Server-Load|Instance-Id)|api_keys|rate_per_s|warmup_per_s|shard_services|weighted_services|concurrency_limit|warmup_left|min_coverage|top_k|heartbeat_address|health_check_path|/v1/(instances|config|readiness|evacuation)|path_prefix"|GOOSEBERRYROCK_CONFIG'
if grep -rnE "$NAMES" apps libs proto config tests \
  --include='*.h' --include='*.cc' --include='*.proto' --include='*.json' \
  --exclude-dir=platform --exclude-dir=generated --exclude='tier_*'; then
  echo "names of the platform outside platform/, see above" >&2
  exit 1
fi
