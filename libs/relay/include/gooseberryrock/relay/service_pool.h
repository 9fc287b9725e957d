// The backend servers of a service and their reply times.

#ifndef GOOSEBERRYROCK_RELAY_SERVICE_POOL_H_
#define GOOSEBERRYROCK_RELAY_SERVICE_POOL_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/latency_estimate.h"
#include "gooseberryrock/relay/domain_crossing.h"
#include "gooseberryrock/relay/pool_server.h"

namespace gooseberryrock::relay {

struct RelayPolicy;

// Reply times of the requests of one rank.
struct ReplyTimes {
  query::LatencyEstimate estimate;
  // Quantiles of `estimate`, refreshed periodically; zero while unknown.
  Duration typical = Duration::zero();
  // Of a request that was not queued.
  Duration unqueued = Duration::zero();
  Duration overdue = Duration::zero();
  SteadyTime refreshed_at;
};

struct ServicePool {
  ServiceName service;
  std::vector<PoolServer> servers;
  std::array<ReplyTimes, kRankCount> times;
  query::AttemptBudget budget;
  // The part of the requests that leaves the failure domain of the node.
  DomainCrossing crossing;
  // When the next request is sent although too many shards are unresponsive.
  SteadyTime next_trial;
};

using PoolMap = std::map<ServiceName, ServicePool>;

ServicePool MakePool(const ServiceName& service, const RelayPolicy& policy);

// Sets the pool's share of the limit on extra attempts, which is divided evenly
// among `shard_count`, the I/O shards of all entry nodes.
void SetBudgetShare(ServicePool& pool,
                    const RelayPolicy& policy,
                    uint32_t shard_count);

// Grants the I/O shard one connection to one server if it has no connection to
// any. The server depends on `seed`, so that nodes with different seeds use
// different servers. All nodes together may exceed the connection limit of a
// server by a few.
void EnsureOneUsableServer(ServicePool& pool, uint64_t seed);

// Returns null if there is no such server.
PoolServer* FindServer(ServicePool& pool, const BackendServerId& id);

void RecordReplyTime(ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration elapsed,
                     SteadyTime now);

// The typical reply time of a request of `rank` with `target_latency`.
Duration TypicalTime(const ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration target_latency);

// The reply time of a request of `rank` that is not queued.
Duration UnqueuedTime(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency);

// The mean processing time of a request in a server's queue, over all ranks;
// zero while unknown.
Duration MeanUnqueuedTime(const ServicePool& pool);

// Time after which an attempt without a reply is overdue.
Duration OverdueAfter(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVICE_POOL_H_
