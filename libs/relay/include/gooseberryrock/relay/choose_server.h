// Selects the backend server for an attempt.

#ifndef GOOSEBERRYROCK_RELAY_CHOOSE_SERVER_H_
#define GOOSEBERRYROCK_RELAY_CHOOSE_SERVER_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct RelayPolicy;
struct PoolServer;
struct ServicePool;

struct Selection {
  Rank rank = Rank::kNormal;
  Duration target_latency = Duration::zero();
  // Servers that already received the request.
  std::span<const BackendServerId> excluded;
  // Skips suspect servers.
  bool only_healthy = false;
};

// Estimated time for `server` to answer one more request.
Duration ExpectedTime(const ServicePool& pool,
                      const PoolServer& server,
                      const RelayPolicy& policy,
                      const Selection& selection,
                      SteadyTime now);

// The lowest ExpectedTime() over the responsive servers; Duration::max() if
// there are none.
Duration MinExpectedTime(const ServicePool& pool,
                         const RelayPolicy& policy,
                         const Selection& selection,
                         SteadyTime now);

// ExpectedTime() plus penalties for load imbalance, failures, another failure
// domain and missing idle connections.
Duration ServerCost(const ServicePool& pool,
                    const PoolServer& server,
                    const RelayPolicy& policy,
                    const Selection& selection,
                    SteadyTime now);

// Returns the index of the usable server with the lowest cost; ties are broken
// at random. A failed server that is due for a probe is selected first, for one
// attempt only. Returns nullopt if there is no candidate.
std::optional<size_t> ChooseServer(ServicePool& pool,
                                   const RelayPolicy& policy,
                                   const Selection& selection,
                                   std::mt19937_64& random,
                                   SteadyTime now);

// Whether all usable servers of the pool have failed and none is due for a
// probe.
bool IsUnavailable(const ServicePool& pool, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_CHOOSE_SERVER_H_
