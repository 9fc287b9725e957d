// Choice of the backend server for one attempt.

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
  // Servers that the request was sent to before.
  std::span<const BackendServerId> excluded;
  // Leaves out suspect servers.
  bool only_healthy = false;
};

// Expected time until `server` has answered one more request.
Duration ExpectedTime(const ServicePool& pool,
                      const PoolServer& server,
                      const RelayPolicy& policy,
                      const Selection& selection,
                      SteadyTime now);

// The least expected time of the servers that respond; Duration::max() when
// there is none.
Duration LeastExpectedTime(const ServicePool& pool,
                           const RelayPolicy& policy,
                           const Selection& selection,
                           SteadyTime now);

// ExpectedTime() and what else speaks against the server.
Duration ServerCost(const ServicePool& pool,
                    const PoolServer& server,
                    const RelayPolicy& policy,
                    const Selection& selection,
                    SteadyTime now);

// Index of the usable server with the lowest cost; equal ones are drawn by lot.
// A server that failed and is due for another try is chosen first, once.
// Nothing when there is no candidate.
std::optional<size_t> ChooseServer(ServicePool& pool,
                                   const RelayPolicy& policy,
                                   const Selection& selection,
                                   std::mt19937_64& random,
                                   SteadyTime now);

// Whether every usable server of the pool is suspect.
bool IsUnavailable(const ServicePool& pool, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_CHOOSE_SERVER_H_
