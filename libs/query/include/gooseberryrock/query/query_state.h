// The state of one running query.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_STATE_H_
#define GOOSEBERRYROCK_QUERY_QUERY_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/answer.h"
#include "gooseberryrock/query/query_plan.h"
#include "gooseberryrock/query/query_policy.h"
#include "gooseberryrock/query/query_request.h"
#include "gooseberryrock/query/subquery_reply.h"

namespace gooseberryrock::query {

struct AttemptState {
  // Index into QueryState::shards.
  size_t shard = 0;
  // Empty until the attempt is routed.
  BackendServerId server;
  SteadyTime routed_at;
};

struct ShardState {
  ShardId shard;
  bool answered = false;
  // No further attempt will be made.
  bool given_up = false;
  // An attempt on this shard may have run although no reply was received.
  bool may_have_run = false;
  // A replica of the shard no longer has the pinned snapshot.
  bool snapshot_lost = false;
  // Rows of this shard are missing: the server reported it, or the row limit
  // cut them off.
  bool rows_missing = false;
  // The shard's server crashed; the retry waits until any shard has answered.
  bool retry_deferred = false;
  AttemptFailure last_failure = AttemptFailure::kNotSent;
  uint32_t attempts_made = 0;
  uint32_t attempts_open = 0;
  // Servers used by earlier attempts; excluded from retries.
  std::vector<BackendServerId> tried;
  std::vector<std::string> rows;
};

struct QueryState {
  QueryRequest request;
  QueryPolicy policy;
  QueryPlan plan;
  SteadyTime started;
  // Start of the attempts at the current snapshot.
  SteadyTime round_started;
  // One element for each shard of the plan, in the same order.
  std::vector<ShardState> shards;
  // Open attempts. Replies to other attempts are dropped.
  std::map<AttemptId, AttemptState> attempts;
  // Shards neither answered nor given up.
  size_t shards_open = 0;
  bool hedged = false;
  bool finished = false;
  // Servers that crashed while they ran an attempt of this query.
  uint32_t server_crashes = 0;
  // Shards with `retry_deferred`.
  size_t deferred_retries = 0;
  // A newer snapshot was requested from the runtime and is still pending.
  bool awaiting_newer_snapshot = false;
  // An attempt at an earlier snapshot of the query may have run.
  bool ran_before_restart = false;
  uint32_t restarts = 0;
  // Dropped replies: late, duplicate, incomplete, or for another shard or
  // snapshot.
  uint64_t dropped_replies = 0;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_STATE_H_
