// The backend servers of one service, and how fast they answer.

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
#include "gooseberryrock/relay/pool_server.h"

namespace gooseberryrock::relay {

struct RelayPolicy;

// Reply times of requests of one rank.
struct ReplyTimes {
  query::LatencyEstimate estimate;
  // From the estimate, refreshed every few milliseconds; zero while unknown.
  Duration typical = Duration::zero();
  // Of a request that did not have to wait.
  Duration quick = Duration::zero();
  Duration overdue = Duration::zero();
  SteadyTime refreshed_at;
};

struct ServicePool {
  ServiceName service;
  std::vector<PoolServer> servers;
  std::array<ReplyTimes, kRankCount> times;
  query::AttemptBudget budget;
};

using PoolMap = std::map<ServiceName, ServicePool>;

ServicePool MakePool(const ServiceName& service, const RelayPolicy& policy);

// Gives the pool its part of the limit on extra attempts, one of `holders`: the
// I/O shards of all entry nodes.
void DivideBudget(ServicePool& pool,
                  const RelayPolicy& policy,
                  uint32_t holders);

// Lets the shard use one server when its shares of the connections leave it
// none; which one depends on `seed`, so that nodes with different seeds take
// different ones. Together they may exceed a limit by a few connections.
void KeepOneReachable(ServicePool& pool, uint64_t seed);

// Null when there is no such server.
PoolServer* FindServer(ServicePool& pool, const BackendServerId& id);

void RecordReplyTime(ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration elapsed,
                     SteadyTime now);

// The usual time of a reply to a request of `rank` with `target_latency`.
Duration TypicalTime(const ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration target_latency);

// The time of a reply to a request of `rank` that does not have to wait.
Duration QuickTime(const ServicePool& pool,
                   const RelayPolicy& policy,
                   Rank rank,
                   Duration target_latency);

// The mean time that a request in the queue of a server takes, over all ranks;
// zero while unknown.
Duration MeanQuickTime(const ServicePool& pool);

// When an attempt without a reply counts as overdue.
Duration OverdueAfter(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVICE_POOL_H_
