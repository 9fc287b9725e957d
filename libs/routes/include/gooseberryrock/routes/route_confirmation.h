// Shows how recently the routes that a node follows were known to be the newest
// ones. A node that is cut off, or was suspended, cannot know whether a key has
// been taken away since.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_CONFIRMATION_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_CONFIRMATION_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::routes {

// At `at` or later, `version` was the newest version of the routes.
struct RouteConfirmation {
  // 0 if there is no confirmation.
  uint64_t version = 0;
  SteadyTime at;
};

// What a node knows of the routes that it follows.
struct FollowedRoutes {
  uint64_t version = 0;
  RouteConfirmation last;
  // The latest time at which no version newer than `version` existed.
  std::optional<SteadyTime> confirmed_at;
};

// Returns the time to count a confirmation from that another node sent with the
// age `age`, in reply to a question sent at `asked_at`. Only the clock of the
// receiver is used; the way of the question counts as age.
SteadyTime ConfirmedAt(SteadyTime asked_at, Duration age);

// Takes over `confirmation` if it is later than the last one. It counts for the
// followed routes only if they are at least as new.
void RecordConfirmation(FollowedRoutes& routes,
                        const RouteConfirmation& confirmation);

// The node follows `version` from now on.
void Follow(FollowedRoutes& routes, uint64_t version);

// Whether the followed routes were the newest ones at most `lifetime` ago. A
// `lifetime` of zero means that no confirmation is needed.
bool IsConfirmed(const FollowedRoutes& routes,
                 Duration lifetime,
                 SteadyTime now);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_CONFIRMATION_H_
