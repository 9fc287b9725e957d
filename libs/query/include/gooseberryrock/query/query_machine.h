// State machine of a query: each function handles one event and returns the
// actions to carry out.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_
#define GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_

#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/query_effects.h"
#include "gooseberryrock/query/query_state.h"

namespace gooseberryrock::query {

struct AttemptBudget;

// Generates attempt ids. `next` starts above all ids of earlier incarnations of
// the node; `step` keeps the ids of several query shards distinct.
struct AttemptIdSource {
  AttemptId next = 1;
  AttemptId step = 1;
};

// Starts the query with one attempt per shard.
QueryEffects StartQuery(QueryState& state,
                        AttemptIdSource& ids,
                        AttemptBudget& budget,
                        SteadyTime now);

// Records the server chosen for the attempt. Returns false if the attempt has
// been cancelled and must not be sent.
bool OnAttemptRouted(QueryState& state,
                     AttemptId attempt,
                     const BackendServerId& server,
                     SteadyTime now);

// A reply for another shard or snapshot, or without its end marker, is not
// merged but counts as a failed attempt that may have run.
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

// Completes QueryEffects::find_newer_snapshot. Restarts all shards if `plan`
// covers a larger share of its shards than the current plan can still answer;
// the rows of the earlier snapshot are discarded then.
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
