// What the runtime has to do after an event of a query.

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

// An attempt that the runtime routes with ChooseServer() and sends.
struct AttemptToSend {
  AttemptId id = 0;
  ShardId shard;
  Snapshot snapshot;
  // Servers that must not be chosen.
  std::vector<BackendServerId> excluded;
  SteadyTime deadline;
  AttemptCause cause = AttemptCause::kFirst;
};

// An attempt whose answer no one waits for. `server` is empty when the attempt
// was not routed, so that there is nothing to cancel at a server.
struct AttemptToCancel {
  AttemptId id = 0;
  BackendServerId server;
  SteadyTime routed_at;
};

struct QueryEffects {
  std::vector<AttemptToSend> send;
  std::vector<AttemptToCancel> cancel;
  // Plan the query again with the newest routing table and a snapshot newer
  // than that of the present plan, and pass the result to OnNewerSnapshot().
  bool find_newer_snapshot = false;
  // When to call OnTimer() next.
  std::optional<SteadyTime> next_timer;
  // Set once, when the query has finished.
  std::optional<Answer> answer;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_EFFECTS_H_
