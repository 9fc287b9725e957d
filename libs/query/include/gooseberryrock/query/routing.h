// Chooses the replica for an attempt.

#ifndef GOOSEBERRYROCK_QUERY_ROUTING_H_
#define GOOSEBERRYROCK_QUERY_ROUTING_H_

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ServerView;

struct RoutingPolicy {
  // Round-trip time to another failure domain, added to the cost of servers
  // there.
  Duration cross_domain_delay = std::chrono::milliseconds(3);
  // Assumed service time of a server without an estimate.
  Duration unknown_service_time = std::chrono::milliseconds(5);
};

// Returns the expected time until the server would reply to one more subquery.
Duration ExpectedTime(const ServerView& view,
                      const RoutingPolicy& policy,
                      SteadyTime now);

// Picks two random `candidates` that are not in `excluded` and returns the
// index of the one with the lower expected time. Servers in backoff are
// considered only if there is no other. Returns nothing if no candidate is
// left.
std::optional<size_t> ChooseServer(std::span<const ServerView> candidates,
                                   std::span<const BackendServerId> excluded,
                                   const RoutingPolicy& policy,
                                   std::mt19937_64& random,
                                   SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ROUTING_H_
