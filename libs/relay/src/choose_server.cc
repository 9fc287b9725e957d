// Selects the backend server for an attempt.

#include "gooseberryrock/relay/choose_server.h"

#include <algorithm>

#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/service_pool.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// Whether the server's announcements and replies allow a request of `rank`.
bool MayGetRequest(const PoolServer& server, Rank rank, SteadyTime now) {
  const bool is_idle = server.stats.outstanding + server.queued == 0;
  return server.AcceptsWork() && !IsResting(server.notices, now) &&
         (is_idle || !IsReturning(server.notices, now)) &&
         MaySend(server.request_limit, rank, now);
}

// Whether the server may get no request, or failed and is not due for a probe.
bool IsOut(const PoolServer& server, Rank rank, SteadyTime now) {
  return !MayGetRequest(server, rank, now) ||
         (IsSuspect(server.stats, now) &&
          server.stats.consecutive_failures > 0);
}

bool IsCandidate(const PoolServer& server,
                 const Selection& selection,
                 SteadyTime now) {
  if (!MayGetRequest(server, selection.rank, now)) {
    return false;
  }
  if (selection.only_healthy && IsSuspect(server.stats, now)) {
    return false;
  }
  if (selection.only_connected && server.stats.consecutive_failures > 0 &&
      (server.idle_connections == 0 || IsSuspect(server.stats, now))) {
    return false;
  }
  return std::find(selection.excluded.begin(), selection.excluded.end(),
                   server.id) == selection.excluded.end();
}

bool IsDueForProbe(const PoolServer& server, SteadyTime now) {
  return server.stats.consecutive_failures > 0 && server.stats.overdue == 0 &&
         now >= server.stats.next_probe;
}

double Slots(const PoolServer& server, const RelayPolicy& policy) {
  const LoadReport& report = server.stats.report;
  return std::max<double>(IsStated(report, policy)
                              ? StatedSlots(report, server.slots)
                              : server.slots,
                          1);
}

double TotalLoad(const PoolServer& server,
                 const RelayPolicy& policy,
                 SteadyTime now) {
  return LoadAt(server.stats, policy, now) + server.queued;
}

bool IsNear(const PoolServer& server, const Selection& selection) {
  return selection.domain != nullptr ? server.domain == *selection.domain
                                     : server.same_domain;
}

Duration CrossingCost(const RelayPolicy& policy, const Selection& selection) {
  return Scale(selection.target_latency, policy.cross_domain_share);
}

// The candidate with the lowest cost of those seen so far.
struct Cheapest {
  std::optional<size_t> index;
  Duration cost = Duration::max();
  uint32_t equal = 0;
};

void Offer(Cheapest& best,
           size_t index,
           Duration cost,
           std::mt19937_64& random) {
  if (cost > best.cost) {
    return;
  }
  best.equal = cost < best.cost ? 1 : best.equal + 1;
  // Reservoir sampling: each of the equal candidates is selected with the same
  // probability.
  if (best.equal == 1 || random() % best.equal == 0) {
    best.index = index;
    best.cost = cost;
  }
}

// Whether a server of the domain states its slowness. Without statements the
// lowest cost decides alone.
bool MayDampCrossing(const ServicePool& pool,
                     const RelayPolicy& policy,
                     const Selection& selection) {
  return selection.domain == nullptr &&
         std::any_of(pool.servers.begin(), pool.servers.end(),
                     [&](const PoolServer& it) {
                       return it.same_domain &&
                              IsStated(it.stats.report, policy);
                     });
}

// Whether both servers are candidates and the one of the domain responds.
bool IsCrossingDamped(const ServicePool& pool,
                      const Cheapest& near,
                      const Cheapest& far,
                      SteadyTime now) {
  return near.index && far.index &&
         !IsSuspect(pool.servers[*near.index].stats, now);
}

}  // namespace

Duration ExpectedTime(const ServicePool& pool,
                      const PoolServer& server,
                      const RelayPolicy& policy,
                      const Selection& selection,
                      SteadyTime now) {
  const Duration unqueued = UnqueuedTime(pool, policy, selection.times_rank,
                                         selection.target_latency);
  const double slots = Slots(server, policy);
  const double waiting =
      std::max(0.0, TotalLoad(server, policy, now) + 1 - slots) / slots;
  const Duration queue = Scale(MeanUnqueuedTime(pool), waiting);
  return Scale(unqueued + queue, SlownessAt(server.stats, policy, now));
}

Duration MinExpectedTime(const ServicePool& pool,
                         const RelayPolicy& policy,
                         const Selection& selection,
                         SteadyTime now) {
  Duration least = Duration::max();
  for (const PoolServer& it : pool.servers) {
    if (MayGetRequest(it, selection.rank, now) && !IsSuspect(it.stats, now)) {
      least = std::min(least, ExpectedTime(pool, it, policy, selection, now));
    }
  }
  return least;
}

Duration ServerCost(const ServicePool& pool,
                    const PoolServer& server,
                    const RelayPolicy& policy,
                    const Selection& selection,
                    SteadyTime now) {
  const Duration typical =
      TypicalTime(pool, policy, selection.times_rank, selection.target_latency);
  Duration cost = ExpectedTime(pool, server, policy, selection, now);
  cost += Scale(typical, policy.load_balance_factor *
                             TotalLoad(server, policy, now) /
                             Slots(server, policy));
  // A failed attempt is retried while there is budget; without budget its shard
  // would be missing from the answer.
  const Duration failure_cost = pool.budget.tokens >= 1
                                    ? Scale(typical, policy.failure_cost_factor)
                                    : selection.target_latency;
  cost += Scale(failure_cost, server.stats.failure_share);
  if (!IsNear(server, selection)) {
    cost += CrossingCost(policy, selection);
  }
  if (server.idle_connections == 0) {
    cost += server.connections < server.connection_share ? policy.connect_cost
                                                         : typical;
  }
  if (IsSuspect(server.stats, now)) {
    cost += policy.suspect_cost;
  }
  return cost;
}

std::optional<size_t> ChooseServer(ServicePool& pool,
                                   const RelayPolicy& policy,
                                   const Selection& selection,
                                   std::mt19937_64& random,
                                   SteadyTime now) {
  const bool may_damp = MayDampCrossing(pool, policy, selection);
  Cheapest best;
  Cheapest near;
  Cheapest far;
  for (size_t i = 0; i < pool.servers.size(); ++i) {
    PoolServer& server = pool.servers[i];
    if (!IsCandidate(server, selection, now)) {
      continue;
    }
    if (!selection.only_connected && IsDueForProbe(server, now)) {
      server.stats.next_probe = now + policy.max_probe_delay;
      CountSend(server.request_limit, now);
      return i;
    }
    const Duration cost = ServerCost(pool, server, policy, selection, now);
    Offer(best, i, cost, random);
    if (may_damp) {
      Offer(IsNear(server, selection) ? near : far, i, cost, random);
    }
  }
  if (IsCrossingDamped(pool, near, far, now)) {
    UpdateCrossing(pool.crossing, near.cost, far.cost,
                   CrossingCost(policy, selection), policy.crossing_damping,
                   now);
    std::uniform_real_distribution<double> chance(0, 1);
    best = chance(random) < pool.crossing.share ? far : near;
  }
  if (best.index) {
    CountSend(pool.servers[*best.index].request_limit, now);
  }
  return best.index;
}

SteadyTime AvailableAt(const PoolServer& server, Rank rank, SteadyTime now) {
  if (!server.AcceptsWork()) {
    return SteadyTime::max();
  }
  const SteadyTime allowed_at =
      std::max(server.notices.rests_until.value_or(now),
               NextSendTime(server.request_limit, rank, now));
  return server.stats.consecutive_failures > 0
             ? std::max(server.stats.next_probe, allowed_at)
             : allowed_at;
}

bool IsUnavailable(const ServicePool& pool, Rank rank, SteadyTime now) {
  return std::all_of(
      pool.servers.begin(), pool.servers.end(),
      [&](const PoolServer& it) { return IsOut(it, rank, now); });
}

double MissChance(const ServicePool& pool,
                  Rank rank,
                  Duration target_latency,
                  SteadyTime now) {
  double least = 1;
  double all = 1;
  for (const PoolServer& it : pool.servers) {
    if (!IsOut(it, rank, now) && !IsStalled(it.stats, target_latency, now)) {
      const double refused = RefusalShareAt(it.stats, now);
      least = std::min(least, refused);
      all *= refused;
    }
  }
  return pool.budget.tokens >= 1 ? all : least;
}

bool HasLimitedServer(const ServicePool& pool, Rank rank, SteadyTime now) {
  return std::any_of(
      pool.servers.begin(), pool.servers.end(), [&](const PoolServer& it) {
        return it.AcceptsWork() && !MaySend(it.request_limit, rank, now);
      });
}

bool HasRestingServer(const ServicePool& pool) {
  return std::any_of(pool.servers.begin(), pool.servers.end(),
                     [](const PoolServer& it) {
                       return it.AcceptsWork() && it.notices.rests_until;
                     });
}

}  // namespace gooseberryrock::relay
