// Shows how recently the routes that a node follows were known to be the newest
// ones.

#include "gooseberryrock/routes/route_confirmation.h"

#include <algorithm>

namespace gooseberryrock::routes {

namespace {

void ApplyConfirmation(FollowedRoutes& routes) {
  if (routes.last.version == 0 || routes.version < routes.last.version) {
    return;
  }
  routes.confirmed_at =
      std::max(routes.confirmed_at.value_or(routes.last.at), routes.last.at);
}

}  // namespace

SteadyTime ConfirmedAt(SteadyTime asked_at, Duration age) {
  return asked_at - std::max(age, Duration::zero());
}

void RecordConfirmation(FollowedRoutes& routes,
                        const RouteConfirmation& confirmation) {
  if (confirmation.version == 0 ||
      (routes.last.version != 0 && confirmation.at <= routes.last.at)) {
    return;
  }
  routes.last = confirmation;
  ApplyConfirmation(routes);
}

void Follow(FollowedRoutes& routes, uint64_t version) {
  routes.version = version;
  ApplyConfirmation(routes);
}

bool IsConfirmed(const FollowedRoutes& routes,
                 Duration lifetime,
                 SteadyTime now) {
  return lifetime == Duration::zero() ||
         (routes.confirmed_at && now - *routes.confirmed_at < lifetime);
}

}  // namespace gooseberryrock::routes
