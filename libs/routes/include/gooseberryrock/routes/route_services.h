// The services that routes refer to, by the kind of their targets.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_SERVICES_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_SERVICES_H_

#include <set>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::routes {

struct RouteSet;

// The services to which requests are relayed.
std::set<ServiceName> RelayedServices(const RouteSet& set);

// The shards of all gathered requests.
std::set<ServiceName> ShardServices(const RouteSet& set);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_SERVICES_H_
