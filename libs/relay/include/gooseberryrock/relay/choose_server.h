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
  // Urgency of the request.
  Rank rank = Rank::kNormal;
  // The rank by which reply times are recorded.
  Rank times_rank = Rank::kNormal;
  Duration target_latency = Duration::zero();
  // Servers that already received the request.
  std::span<const BackendServerId> excluded;
  // Skips suspect servers.
  bool only_healthy = false;
  // Skips failed servers until a connection to them is open, instead of sending
  // them a request as a probe.
  bool only_connected = false;
  // Servers in this failure domain are preferred; if null, those in the domain
  // of the node.
  const FailureDomain* domain = nullptr;
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
// attempt only. Returns nullopt if there is no candidate. The attempt counts
// towards the server's request limit.
std::optional<size_t> ChooseServer(ServicePool& pool,
                                   const RelayPolicy& policy,
                                   const Selection& selection,
                                   std::mt19937_64& random,
                                   SteadyTime now);

// Returns when the server may get a request: a failed one when it is due for a
// probe, a resting one at the end of its rest, a limited one when its limit
// allows another. SteadyTime::max() if it accepts no work.
SteadyTime AvailableAt(const PoolServer& server, Rank rank, SteadyTime now);

// Whether no server of the pool may get a request now: all usable ones have
// failed and are not due for a probe, rest, or are at their request limits.
bool IsUnavailable(const ServicePool& pool, Rank rank, SteadyTime now);

// The chance that no server of the pool takes a request now, in [0, 1]: 1 if
// all are unavailable or have been silent for the target latency, otherwise by
// the refusals of the others. Without budget only one of them can be asked.
double MissChance(const ServicePool& pool,
                  Rank rank,
                  Duration target_latency,
                  SteadyTime now);

// Whether a usable server of the pool is at its request limit, or rests or has
// not replied since its rest.
bool HasLimitedServer(const ServicePool& pool, Rank rank, SteadyTime now);
bool HasRestingServer(const ServicePool& pool);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_CHOOSE_SERVER_H_
