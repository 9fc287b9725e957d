// The life of a query as a state machine: each function takes one event and
// returns what to do about it.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_
#define GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_

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
                     const BackendServerId& server);

QueryEffects OnReply(QueryState& state, SubqueryReply reply, SteadyTime now);

QueryEffects OnAttemptFailed(QueryState& state,
                             AttemptId attempt,
                             AttemptFailure failure,
                             AttemptIdSource& ids,
                             AttemptBudget& budget,
                             SteadyTime now);

QueryEffects OnTimer(QueryState& state,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_MACHINE_H_
