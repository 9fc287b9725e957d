// Decides which shards of a gathered request are left out, and whether it is
// refused.

#include "shard_admission.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <utility>
#include <vector>

#include "gathered_parts.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/relay/service_pool.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// Minimum retry delay under overload: the time to work off a few requests.
constexpr Duration kMinOverloadDelay = std::chrono::milliseconds(50);

// Minimum retry delay while shards are unresponsive: short, because the caller
// may reach a node in another failure domain in time.
constexpr Duration kMinUnresponsiveDelay = std::chrono::milliseconds(100);

void SkipPart(RequestState& state, RequestPart& part) {
  part.skipped = true;
  FailPart(state, part);
}

// Whether to leave out a shard whose servers failed recently. A node that
// gathers for another one tries them all the same once enough shards are left
// out, unless they are down: servers that lose a part of their replies answer
// more often than not.
bool MaySkipUnavailable(const RequestState& state, const RequestPart& part) {
  constexpr uint32_t kFailuresOfLostServer = 3;
  return !state.reports_progress || state.parts_failed < state.max_skipped ||
         std::all_of(part.pool->servers.begin(), part.pool->servers.end(),
                     [](const PoolServer& it) {
                       return !it.AcceptsWork() ||
                              it.stats.consecutive_failures >=
                                  kFailuresOfLostServer;
                     });
}

}  // namespace

Selection SelectionOf(const RequestState& state) {
  Selection selection;
  selection.rank = state.rank;
  selection.times_rank = state.route->rank;
  selection.target_latency = state.route->target_latency;
  return selection;
}

void SkipShards(RequestState& state, RelayContext context, SteadyTime now) {
  const Duration max_expected =
      Scale(state.route->target_latency,
            context.policy.max_expected_share[RankIndex(state.rank)]);
  const Selection selection = SelectionOf(state);
  std::vector<std::pair<Duration, RequestPart*>> busy;
  for (RequestPart& it : state.parts) {
    if (IsUnavailable(*it.pool, state.rank, now) &&
        MaySkipUnavailable(state, it)) {
      SkipPart(state, it);
      continue;
    }
    const Duration expected =
        MinExpectedTime(*it.pool, context.policy, selection, now);
    if (expected > max_expected && expected < Duration::max()) {
      busy.emplace_back(expected, &it);
    }
  }
  std::sort(busy.rbegin(), busy.rend());
  for (const auto& [expected, part] : busy) {
    if (state.parts_failed >= state.max_skipped) {
      return;
    }
    SkipPart(state, *part);
  }
}

std::optional<Duration> UnresponsiveRetryDelay(const RequestState& state,
                                               RelayContext context,
                                               SteadyTime now) {
  // A node that gathers for another one does not know the minimum coverage.
  if (!context.policy.refuse_unresponsive || state.reports_progress) {
    return std::nullopt;
  }
  double missing = 0;
  double most = 0;
  ServicePool* worst = nullptr;
  for (const RequestPart& it : state.parts) {
    if (it.failed) {
      continue;
    }
    const double miss =
        MissChance(*it.pool, state.rank, state.route->target_latency, now);
    missing += miss;
    if (miss > most) {
      most = miss;
      worst = it.pool;
    }
  }
  // The request probably fails if this exceeds what may be missing by half a
  // shard. Waiting for more certainty leaves the servers more requests that
  // miss a shard after they ran on the others.
  constexpr double kHalfShard = 0.5;
  const double may_miss =
      static_cast<double>(CountAvailable(state) - state.min_shards);
  if (missing <= may_miss + kHalfShard) {
    return std::nullopt;
  }
  if (now >= worst->next_trial) {
    worst->next_trial = now + context.policy.unresponsive_trial_interval;
    return std::nullopt;
  }
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  return Scale(kMinUnresponsiveDelay, spread(context.random));
}

std::optional<Duration> OverloadRetryDelay(const RequestState& state,
                                           RelayContext context,
                                           SteadyTime now) {
  const Selection selection = SelectionOf(state);
  std::vector<Duration> expected_times;
  for (const RequestPart& it : state.parts) {
    const Duration expected =
        MinExpectedTime(*it.pool, context.policy, selection, now);
    if (!it.skipped && expected < Duration::max()) {
      expected_times.push_back(expected);
    }
  }
  if (expected_times.empty()) {
    return std::nullopt;
  }
  // For another node, a few busy shards are no reason to refuse the others: it
  // may have enough of them, or answer late.
  const size_t decisive = state.reports_progress ? expected_times.size() / 2
                                                 : expected_times.size() - 1;
  std::nth_element(expected_times.begin(),
                   expected_times.begin() + static_cast<ptrdiff_t>(decisive),
                   expected_times.end());
  const Duration longest = expected_times[decisive];
  // A request that was parked until the node knew its servers may be past its
  // target latency; a late answer is still useful then.
  const Duration left =
      (now < state.partial_answer_at ? state.partial_answer_at
                                     : state.answer_deadline) -
      now;
  if (longest <= left) {
    return std::nullopt;
  }
  // Randomized so that callers refused at the same time do not retry at the
  // same time.
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  return Scale(std::max(longest - left, kMinOverloadDelay),
               spread(context.random));
}

}  // namespace gooseberryrock::relay
