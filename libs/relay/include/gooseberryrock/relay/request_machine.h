// State machine of a relayed or gathered request. Each function handles one
// event and returns the actions to perform.

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

// Inputs shared by all requests of an I/O shard.
struct RelayContext {
  const RelayPolicy& policy;
  std::mt19937_64& random;
};

// Creates the state of a request for the services of `pools`: one service for a
// relayed request, one per shard for a gathered one. `route` and the pools must
// outlive the state.
RequestState MakeRequest(const routes::Route& route,
                         const std::vector<ServicePool*>& pools,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline);

RequestEffects StartRequest(RequestState& state,
                            RelayContext context,
                            SteadyTime now);

// Called when the attempt starts to be written to a connection.
RequestEffects OnAttemptSent(RequestState& state,
                             AttemptNumber attempt,
                             RelayContext context,
                             SteadyTime now);

// The server said that it processes the attempt.
RequestEffects OnAttemptAcknowledged(RequestState& state,
                                     AttemptNumber attempt,
                                     RelayContext context,
                                     SteadyTime now);

// A gathering node reported what has arrived so far.
RequestEffects OnAttemptProgress(RequestState& state,
                                 AttemptNumber attempt,
                                 ServerReply progress,
                                 RelayContext context,
                                 SteadyTime now);

// Returns the part that an attempt in flight is for.
const RequestPart& PartOf(const RequestState& state, AttemptNumber attempt);

// Returns what has arrived so far of a gathered request.
GatheredOutcome Progress(const RequestState& state);

RequestEffects OnAttemptReply(RequestState& state,
                              AttemptNumber attempt,
                              ServerReply reply,
                              RelayContext context,
                              SteadyTime now);

// The attempt ended without a complete reply. It may have been executed if
// OnAttemptSent() was called for it.
RequestEffects OnAttemptFailed(RequestState& state,
                               AttemptNumber attempt,
                               RelayContext context,
                               SteadyTime now);

RequestEffects OnRequestTimer(RequestState& state,
                              RelayContext context,
                              SteadyTime now);

// The replies that have arrived were given up because they take too much
// memory.
RequestEffects OnRepliesGivenUp(RequestState& state, SteadyTime now);

// The caller closed its connection. Idempotent requests are cancelled; others
// run to completion, because stopping one halfway could leave it partially
// applied.
RequestEffects OnCallerDisconnected(RequestState& state, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_MACHINE_H_
