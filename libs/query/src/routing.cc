// Power of two choices over expected times.

#include "gooseberryrock/query/routing.h"

#include <algorithm>
#include <cmath>

#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::query {

namespace {

// A bad estimate loses half of its distance to the default in this time, so
// that a server that is never chosen is tried again.
constexpr Duration kForgetHalfLife = std::chrono::seconds(2);

double Remembered(const ServerView& view, SteadyTime now) {
  if (view.outstanding > 0) {
    return 1;
  }
  const std::chrono::duration<double> idle = now - view.last_heard;
  const std::chrono::duration<double> half = kForgetHalfLife;
  return std::exp2(-idle / half);
}

Duration EstimateNow(const ServerView& view,
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
             Remembered(view, now) *
             (view.service_time - policy.unknown_service_time));
}

}  // namespace

Duration ExpectedTime(const ServerView& view,
                      const RoutingPolicy& policy,
                      SteadyTime now) {
  Duration expected = EstimateNow(view, policy, now);
  if (view.outstanding > 0) {
    // A server that has been silent for longer than its estimate is at least
    // that slow.
    expected = std::max(expected, now - view.last_heard);
  }
  expected *= 1 + view.outstanding;
  if (view.outstanding >= view.window) {
    expected *= 2;
  }
  if (!view.own_failure_domain) {
    expected += policy.cross_domain_delay;
  }
  // Each overtaken attempt cost a hedge, and its real time is not known.
  constexpr double kOvertakenCost = 20;
  expected += std::chrono::duration_cast<Duration>(
      kOvertakenCost * view.overtaken_rate * Remembered(view, now) * expected);
  // A server that fails fast must not look fast: divide by its success rate.
  constexpr double kMinSuccessRate = 0.05;
  const double failure_rate = view.failure_rate * Remembered(view, now);
  const double success = std::max(1 - failure_rate, kMinSuccessRate);
  return std::chrono::duration_cast<Duration>(expected / success);
}

std::optional<size_t> ChooseServer(std::span<const ServerView> candidates,
                                   std::span<const BackendServerId> excluded,
                                   const RoutingPolicy& policy,
                                   std::mt19937_64& random,
                                   SteadyTime now) {
  std::vector<size_t> usable;
  std::vector<size_t> avoided;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (std::find(excluded.begin(), excluded.end(), candidates[i].id) ==
        excluded.end()) {
      (candidates[i].avoid_until > now ? avoided : usable).push_back(i);
    }
  }
  if (usable.empty()) {
    usable.swap(avoided);
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
