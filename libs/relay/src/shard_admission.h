// Decides before anything is sent which shards of a gathered request are left
// out, and whether it is refused.

#ifndef GOOSEBERRYROCK_LIBS_RELAY_SRC_SHARD_ADMISSION_H_
#define GOOSEBERRYROCK_LIBS_RELAY_SRC_SHARD_ADMISSION_H_

#include <optional>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/choose_server.h"

namespace gooseberryrock::relay {

struct RelayContext;
struct RequestState;

// Returns what a server has to be chosen for, without the servers that were
// tried.
Selection SelectionOf(const RequestState& state);

// Leaves out the shards that do not respond, and the slowest of those that are
// expected to take too long, as far as the minimum coverage allows.
void SkipShards(RequestState& state, RelayContext context, SteadyTime now);

// Returns the retry delay if so many shards are silent or refuse their work
// that the request would probably lack the minimum coverage. Call it after it
// is known that enough shards are available.
std::optional<Duration> UnresponsiveRetryDelay(const RequestState& state,
                                               RelayContext context,
                                               SteadyTime now);

// Returns the retry delay if the request cannot be answered in time.
std::optional<Duration> OverloadRetryDelay(const RequestState& state,
                                           RelayContext context,
                                           SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_LIBS_RELAY_SRC_SHARD_ADMISSION_H_
