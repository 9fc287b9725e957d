// The services that routes refer to, by the kind of their targets.

#include "gooseberryrock/routes/route_services.h"

#include <variant>

#include "gooseberryrock/routes/route_set.h"

namespace gooseberryrock::routes {

std::set<ServiceName> RelayedServices(const RouteSet& set) {
  std::set<ServiceName> services;
  for (const Route& route : set.routes) {
    if (const auto* single = std::get_if<SingleTarget>(&route.target)) {
      services.insert(single->service);
    } else if (const auto* weighted =
                   std::get_if<WeightedTarget>(&route.target)) {
      for (const WeightedService& it : weighted->services) {
        services.insert(it.service);
      }
    }
  }
  return services;
}

std::set<ServiceName> ShardServices(const RouteSet& set) {
  std::set<ServiceName> services;
  for (const Route& route : set.routes) {
    if (const auto* sharded = std::get_if<ShardedTarget>(&route.target)) {
      services.insert(sharded->shards.begin(), sharded->shards.end());
    }
  }
  return services;
}

}  // namespace gooseberryrock::routes
