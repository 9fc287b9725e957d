// Power-of-two-choices routing by expected time.

#include "gooseberryrock/query/routing.h"

#include <algorithm>
#include <cmath>

#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::query {

namespace {

// Estimates decay toward the defaults while a server is idle, so that a server
// with a bad estimate is tried again.
constexpr Duration kEstimateHalfLife = std::chrono::seconds(2);

double EstimateWeight(const ServerView& view, SteadyTime now) {
  if (view.outstanding > 0) {
    return 1;
  }
  const std::chrono::duration<double> idle = now - view.last_activity;
  const std::chrono::duration<double> half = kEstimateHalfLife;
  return std::exp2(-idle / half);
}

Duration CurrentServiceTime(const ServerView& view,
                            const RoutingPolicy& policy,
                            SteadyTime now) {
  if (view.service_time == Duration::zero()) {
    return policy.unknown_service_time;
  }
  if (view.service_time <= policy.unknown_service_time) {
    return view.service_time;
  }
  return policy.unknown_service_time +
         std::chrono::duration_cast<Duration>(
             EstimateWeight(view, now) *
             (view.service_time - policy.unknown_service_time));
}

}  // namespace

Duration ExpectedTime(const ServerView& view,
                      const RoutingPolicy& policy,
                      SteadyTime now) {
  Duration expected = CurrentServiceTime(view, policy, now);
  if (view.outstanding > 0) {
    // The time without a reply is a lower bound of the service time.
    expected = std::max(expected, now - view.last_activity);
  }
  expected *= 1 + view.outstanding;
  if (view.outstanding >= view.window) {
    expected *= 2;
  }
  if (!view.own_failure_domain) {
    expected += policy.cross_domain_delay;
  }
  // Each attempt that lost to a hedge cost an extra attempt, and its actual
  // service time is unknown.
  constexpr double kHedgeLossCost = 20;
  expected += std::chrono::duration_cast<Duration>(
      kHedgeLossCost * view.hedge_loss_rate * EstimateWeight(view, now) *
      expected);
  // Divide by the success rate, so that fast failures do not attract load.
  constexpr double kMinSuccessRate = 0.05;
  const double failure_rate = view.failure_rate * EstimateWeight(view, now);
  const double success = std::max(1 - failure_rate, kMinSuccessRate);
  return std::chrono::duration_cast<Duration>(expected / success);
}

std::optional<size_t> ChooseServer(std::span<const ServerView> candidates,
                                   std::span<const BackendServerId> excluded,
                                   const RoutingPolicy& policy,
                                   std::mt19937_64& random,
                                   SteadyTime now) {
  std::vector<size_t> usable;
  std::vector<size_t> in_backoff;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (std::find(excluded.begin(), excluded.end(), candidates[i].id) ==
        excluded.end()) {
      (candidates[i].backoff_until > now ? in_backoff : usable).push_back(i);
    }
  }
  if (usable.empty()) {
    usable.swap(in_backoff);
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> first_of(0, usable.size() - 1);
  const size_t first = first_of(random);
  if (usable.size() == 1) {
    return usable[first];
  }
  std::uniform_int_distribution<size_t> offset_of(1, usable.size() - 1);
  const size_t second = (first + offset_of(random)) % usable.size();
  const size_t a = usable[first];
  const size_t b = usable[second];
  return ExpectedTime(candidates[a], policy, now) <=
                 ExpectedTime(candidates[b], policy, now)
             ? a
             : b;
}

}  // namespace gooseberryrock::query
