// Actions for the runtime to carry out after an event of a query.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_EFFECTS_H_
#define GOOSEBERRYROCK_QUERY_QUERY_EFFECTS_H_

#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/answer.h"
#include "gooseberryrock/query/subquery_reply.h"

namespace gooseberryrock::query {

enum class AttemptCause { kFirst, kHedge, kRetry };

// An attempt to route with ChooseServer() and send.
struct AttemptToSend {
  AttemptId id = 0;
  ShardId shard;
  Snapshot snapshot;
  // Servers excluded from routing.
  std::vector<BackendServerId> excluded;
  SteadyTime deadline;
  AttemptCause cause = AttemptCause::kFirst;
};

// An attempt whose result is no longer needed. `server` is empty if the attempt
// was not routed yet and there is nothing to cancel at a server.
struct AttemptToCancel {
  AttemptId id = 0;
  BackendServerId server;
  SteadyTime routed_at;
};

struct QueryEffects {
  std::vector<AttemptToSend> send;
  std::vector<AttemptToCancel> cancel;
  // Call PlanQuery() with the newest routing table, limited to snapshots newer
  // than that of the current plan, and pass the result to OnNewerSnapshot().
  bool find_newer_snapshot = false;
  // When to call OnTimer() next.
  std::optional<SteadyTime> next_timer;
  // Set once, when the query has finished.
  std::optional<Answer> answer;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_EFFECTS_H_
