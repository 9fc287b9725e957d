// The backend servers of a service and their reply times.

#include "gooseberryrock/relay/service_pool.h"

#include <algorithm>
#include <chrono>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/relay/evacuated_servers.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// How often the quantiles are recomputed.
constexpr Duration kQuantileRefreshInterval = std::chrono::milliseconds(100);

}  // namespace

ServicePool MakePool(const ServiceName& service, const RelayPolicy& policy) {
  ServicePool pool;
  pool.service = service;
  SetBudgetShare(pool, policy, policy.default_node_count);
  pool.budget.tokens = pool.budget.capacity;
  return pool;
}

void SetBudgetShare(ServicePool& pool,
                    const RelayPolicy& policy,
                    uint32_t shard_count) {
  const ExtraAttemptLimit& limit = policy.extra_attempts;
  const double attempts = limit.attempts / std::max<double>(shard_count, 1);
  pool.budget.share = limit.share * policy.earned_share;
  // At least one attempt, because a pool with less could never spend any.
  pool.budget.capacity = std::max(1.0, attempts * policy.burst_share);
  pool.budget.per_second = attempts * policy.refill_share /
                           std::chrono::duration<double>(limit.window).count();
  pool.budget.tokens = std::min(pool.budget.tokens, pool.budget.capacity);
}

void EnsureOneUsableServer(ServicePool& pool, uint64_t seed) {
  PoolServer* first = nullptr;
  uint64_t first_hash = 0;
  for (PoolServer& it : pool.servers) {
    if (it.AcceptsWork()) {
      return;
    }
    const uint64_t hash = Hash64(it.id.value, seed);
    if (IsOpenToWork(it) && HasPart(it.request_limit.cold) &&
        (first == nullptr || hash < first_hash)) {
      first = &it;
      first_hash = hash;
    }
  }
  if (first != nullptr) {
    first->connection_share = 1;
  }
}

PoolServer* FindServer(ServicePool& pool, const BackendServerId& id) {
  auto it = std::find_if(pool.servers.begin(), pool.servers.end(),
                         [&](const PoolServer& n) { return n.id == id; });
  return it == pool.servers.end() ? nullptr : &*it;
}

void RecordReplyTime(ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration elapsed,
                     SteadyTime now) {
  ReplyTimes& times = pool.times[RankIndex(rank)];
  query::RecordLatency(times.estimate, elapsed, now);
  if (now - times.refreshed_at < kQuantileRefreshInterval) {
    return;
  }
  times.refreshed_at = now;
  constexpr double kTypicalQuantile = 0.5;
  // At least this fraction of the requests finds a free slot unless the servers
  // are overloaded; the estimate is then too high, and the node refuses more
  // requests.
  constexpr double kUnqueuedQuantile = 0.25;
  times.unqueued = query::LatencyQuantile(times.estimate, kUnqueuedQuantile)
                       .value_or(Duration::zero());
  times.typical = query::LatencyQuantile(times.estimate, kTypicalQuantile)
                      .value_or(Duration::zero());
  times.overdue =
      query::LatencyQuantile(times.estimate, policy.overdue_quantile)
          .value_or(Duration::zero());
}

Duration TypicalTime(const ServicePool& pool,
                     const RelayPolicy& policy,
                     Rank rank,
                     Duration target_latency) {
  const Duration typical = pool.times[RankIndex(rank)].typical;
  return typical > Duration::zero()
             ? typical
             : Scale(target_latency, policy.default_typical_share);
}

Duration UnqueuedTime(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency) {
  const Duration unqueued = pool.times[RankIndex(rank)].unqueued;
  return unqueued > Duration::zero()
             ? unqueued
             : Scale(target_latency, policy.default_typical_share);
}

Duration MeanUnqueuedTime(const ServicePool& pool) {
  double weight = 0;
  Duration sum = Duration::zero();
  for (const ReplyTimes& it : pool.times) {
    weight += it.estimate.weight;
    sum += Scale(it.unqueued, it.estimate.weight);
  }
  return weight > 0 ? Scale(sum, 1 / weight) : Duration::zero();
}

Duration OverdueAfter(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency) {
  const Duration overdue = pool.times[RankIndex(rank)].overdue;
  if (overdue <= Duration::zero()) {
    return Scale(target_latency, policy.default_overdue_share);
  }
  return std::clamp(overdue, Scale(target_latency, policy.min_overdue_share),
                    Scale(target_latency, policy.max_overdue_share));
}

}  // namespace gooseberryrock::relay
