// All routes and the services that they refer to. They are replaced as a whole,
// under a version chosen by the sender.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_SET_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::routes {

struct RoutedService {
  // Maximum number of connections to a server from all nodes together.
  uint32_t connection_limit = 1;
  // Requests that a cold server takes from all nodes together; 0 if it takes
  // any number.
  double cold_requests_per_second = 0;
  // Time for which a server of the service is usually cold.
  Duration cold_time = Duration::zero();

  bool operator==(const RoutedService&) const = default;
};

// Limits on the size and duration of requests from callers.
struct CallerLimits {
  // Headers over 64 KiB are refused in any case.
  size_t header_bytes = size_t{16} << 10U;
  size_t body_bytes = size_t{256} << 10U;
  Duration header_timeout = std::chrono::seconds(3);
  // Minimum time that an idle connection is kept open.
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

struct RouteSet {
  // 0 until a first set is accepted.
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, RoutedService> services;
  CallerLimits limits;
  // If there are any, callers of routes that are not public need a key.
  std::vector<organisations::Organisation> organisations;

  bool operator==(const RouteSet&) const = default;
};

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_SET_H_
