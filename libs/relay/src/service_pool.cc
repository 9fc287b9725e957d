// The backend servers of one service.

#include "gooseberryrock/relay/service_pool.h"

#include <algorithm>
#include <chrono>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// The quantiles are computed anew after this time.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

}  // namespace

ServicePool MakePool(const ServiceName& service, const RelayPolicy& policy) {
  ServicePool pool;
  pool.service = service;
  DivideBudget(pool, policy, policy.assumed_nodes);
  pool.budget.tokens = pool.budget.capacity;
  return pool;
}

void DivideBudget(ServicePool& pool,
                  const RelayPolicy& policy,
                  uint32_t holders) {
  const ExtraAttemptLimit& limit = policy.extra_attempts;
  const double attempts = limit.attempts / std::max<double>(holders, 1);
  pool.budget.share = limit.share * policy.used_share;
  // One whole attempt at least: with less a pool could never make any.
  pool.budget.capacity = std::max(1.0, attempts * policy.saved_attempts);
  pool.budget.per_second = attempts * policy.earned_attempts /
                           std::chrono::duration<double>(limit.window).count();
  pool.budget.tokens = std::min(pool.budget.tokens, pool.budget.capacity);
}

void KeepOneReachable(ServicePool& pool, uint64_t seed) {
  PoolServer* first = nullptr;
  uint64_t first_hash = 0;
  for (PoolServer& it : pool.servers) {
    if (it.TakesWork()) {
      return;
    }
    const uint64_t hash = Hash64(it.id.value, seed);
    if (it.usable && (first == nullptr || hash < first_hash)) {
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
  if (now - times.refreshed_at < kRefreshInterval) {
    return;
  }
  times.refreshed_at = now;
  constexpr double kMedian = 0.5;
  // Servers are free for at least this share of the requests, unless they are
  // overloaded, when the estimate is too high and the node more careful.
  constexpr double kUndelayed = 0.25;
  times.quick = query::LatencyQuantile(times.estimate, kUndelayed)
                    .value_or(Duration::zero());
  times.typical = query::LatencyQuantile(times.estimate, kMedian)
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
             : Scale(target_latency, policy.unknown_typical_share);
}

Duration QuickTime(const ServicePool& pool,
                   const RelayPolicy& policy,
                   Rank rank,
                   Duration target_latency) {
  const Duration quick = pool.times[RankIndex(rank)].quick;
  return quick > Duration::zero()
             ? quick
             : Scale(target_latency, policy.unknown_typical_share);
}

Duration MeanQuickTime(const ServicePool& pool) {
  double weight = 0;
  Duration sum = Duration::zero();
  for (const ReplyTimes& it : pool.times) {
    weight += it.estimate.weight;
    sum += Scale(it.quick, it.estimate.weight);
  }
  return weight > 0 ? Scale(sum, 1 / weight) : Duration::zero();
}

Duration OverdueAfter(const ServicePool& pool,
                      const RelayPolicy& policy,
                      Rank rank,
                      Duration target_latency) {
  const Duration overdue = pool.times[RankIndex(rank)].overdue;
  if (overdue <= Duration::zero()) {
    return Scale(target_latency, policy.unknown_overdue_share);
  }
  return std::clamp(overdue, Scale(target_latency, policy.least_overdue_share),
                    Scale(target_latency, policy.most_overdue_share));
}

}  // namespace gooseberryrock::relay
