// How a request ends that cannot be answered: refused with the time after which
// it can be, or failed.

#ifndef GOOSEBERRYROCK_LIBS_RELAY_SRC_REFUSAL_H_
#define GOOSEBERRYROCK_LIBS_RELAY_SRC_REFUSAL_H_

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/outcome.h"

namespace gooseberryrock::relay {

struct RelayContext;
struct RequestState;

// Default retry delay for callers: the time it takes to announce a server or to
// probe it again.
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

// Refuses the request with the time after which it can be served. `reason` is
// replaced if servers stated the reason themselves. Callers that are refused
// for the same time are spread over half as much again.
RefusedOutcome Refuse(const RequestState& state,
                      RefusalReason reason,
                      RelayContext context,
                      SteadyTime now);

// The outcome of a request that can no longer succeed.
Outcome FailureOutcome(const RequestState& state,
                       RefusalReason reason,
                       RelayContext context,
                       SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_LIBS_RELAY_SRC_REFUSAL_H_
