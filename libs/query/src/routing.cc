// Power of two choices over expected times.

#include "gooseberryrock/query/routing.h"

#include <algorithm>

#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::query {

Duration ExpectedTime(const ServerView& view, const RoutingPolicy& policy) {
  const Duration service_time = view.service_time > Duration::zero()
                                    ? view.service_time
                                    : policy.unknown_service_time;
  const auto rounds = 1 + view.outstanding / std::max(view.slots, 1U);
  Duration expected = service_time * rounds;
  if (!view.own_failure_domain) {
    expected += policy.cross_domain_delay;
  }
  // A server that fails fast must not look fast: divide by its success rate.
  constexpr double kMinSuccessRate = 0.05;
  const double success = std::max(1 - view.failure_rate, kMinSuccessRate);
  return std::chrono::duration_cast<Duration>(expected / success);
}

std::optional<size_t> ChooseServer(std::span<const ServerView> candidates,
                                   std::span<const BackendServerId> excluded,
                                   const RoutingPolicy& policy,
                                   std::mt19937_64& random) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (std::find(excluded.begin(), excluded.end(), candidates[i].id) ==
        excluded.end()) {
      usable.push_back(i);
    }
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
  return ExpectedTime(candidates[a], policy) <=
                 ExpectedTime(candidates[b], policy)
             ? a
             : b;
}

}  // namespace gooseberryrock::query
