// Choice of the replica that an attempt goes to.

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
  // Round trip to another failure domain, added to the cost of its servers.
  Duration cross_domain_delay = std::chrono::milliseconds(3);
  // Cost of a server without a service time estimate.
  Duration unknown_service_time = std::chrono::milliseconds(5);
};

// Expected time until `view` has answered one more subquery.
Duration ExpectedTime(const ServerView& view,
                      const RoutingPolicy& policy,
                      SteadyTime now);

// Draws two of `candidates` that are not in `excluded` and returns the index of
// the one with the lower expected time. Servers that are to be avoided are
// drawn only when there is no other. Nothing when there is no candidate.
std::optional<size_t> ChooseServer(std::span<const ServerView> candidates,
                                   std::span<const BackendServerId> excluded,
                                   const RoutingPolicy& policy,
                                   std::mt19937_64& random,
                                   SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ROUTING_H_
