// The life of a relayed or gathered request as a state machine: each function
// takes one event and returns what to do about it.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_MACHINE_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_MACHINE_H_

#include <random>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/request_effects.h"
#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/relay/service_pool.h"

namespace gooseberryrock::relay {

struct RelayPolicy;
struct ServerReply;

// What the decisions of one I/O shard share.
struct RelayContext {
  const RelayPolicy& policy;
  std::mt19937_64& random;
};

// The state of a request for the services of `pools`: one for a relayed
// request, the shards of a gathered one. `route` and the pools outlive it.
RequestState MakeRequest(const routes::Route& route,
                         const std::vector<ServicePool*>& pools,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline);

RequestEffects StartRequest(RequestState& state,
                            RelayContext context,
                            SteadyTime now);

// The runtime starts to write the attempt to a connection.
RequestEffects OnAttemptSent(RequestState& state,
                             AttemptNumber attempt,
                             RelayContext context,
                             SteadyTime now);

RequestEffects OnAttemptReply(RequestState& state,
                              AttemptNumber attempt,
                              ServerReply reply,
                              RelayContext context,
                              SteadyTime now);

// The attempt ended without a whole reply. Whether it may have run follows from
// OnAttemptSent().
RequestEffects OnAttemptFailed(RequestState& state,
                               AttemptNumber attempt,
                               RelayContext context,
                               SteadyTime now);

RequestEffects OnRequestTimer(RequestState& state,
                              RelayContext context,
                              SteadyTime now);

// The caller has closed its connection. Idempotent work is stopped; other work
// goes on, so that what was begun is finished.
RequestEffects OnCallerGone(RequestState& state);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_MACHINE_H_
