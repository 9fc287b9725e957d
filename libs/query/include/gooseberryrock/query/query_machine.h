// The life of a query as a state machine: each function takes one event and
// returns what to do about it.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_
#define GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_

#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/query_effects.h"
#include "gooseberryrock/query/query_state.h"

namespace gooseberryrock::query {

struct AttemptBudget;

// Makes attempt ids. `next` starts at a value that no earlier incarnation of
// the node has reached; `step` keeps the sources of several query shards apart.
struct AttemptIdSource {
  AttemptId next = 1;
  AttemptId step = 1;
};

// Starts the query with one attempt for each shard.
QueryEffects StartQuery(QueryState& state,
                        AttemptIdSource& ids,
                        AttemptBudget& budget,
                        SteadyTime now);

// Records the server that the attempt goes to. Returns false when the attempt
// is no longer wanted; it must not be sent then.
bool OnAttemptRouted(QueryState& state,
                     AttemptId attempt,
                     const BackendServerId& server,
                     SteadyTime now);

// A reply with another shard or snapshot or without its end marker is never
// merged; it is a failed attempt that may have run.
QueryEffects OnReply(QueryState& state,
                     SubqueryReply reply,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     SteadyTime now);

QueryEffects OnAttemptFailed(QueryState& state,
                             AttemptId attempt,
                             AttemptFailure failure,
                             AttemptIdSource& ids,
                             AttemptBudget& budget,
                             SteadyTime now);

// Answers QueryEffects::find_newer_snapshot. Starts all shards again when
// `plan` covers a larger share of its shards than the present one can still
// answer; no row of the earlier snapshot is kept then.
QueryEffects OnNewerSnapshot(QueryState& state,
                             std::optional<QueryPlan> plan,
                             AttemptIdSource& ids,
                             SteadyTime now);

QueryEffects OnTimer(QueryState& state,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_
