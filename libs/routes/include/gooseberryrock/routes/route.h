// A rule that maps requests to backend servers.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::routes {

// Sends the request to one server of the service.
struct SingleTarget {
  ServiceName service;

  bool operator==(const SingleTarget&) const = default;
};

struct WeightedService {
  ServiceName service;
  uint32_t weight = 0;

  bool operator==(const WeightedService&) const = default;
};

// Sends the request to one server of one of the services, each of which
// receives requests in proportion to its weight.
struct WeightedTarget {
  std::vector<WeightedService> services;

  bool operator==(const WeightedTarget&) const = default;
};

// Sends the request to one server of each of the services, which are the
// shards. The answer contains the greatest records of all replies.
struct ShardedTarget {
  std::vector<ServiceName> shards;
  // Number of records in the answer.
  uint32_t top_records = 0;
  // Minimum fraction of the shards, in [0, 1], that a successful answer has to
  // cover.
  double minimum_coverage = 1;

  bool operator==(const ShardedTarget&) const = default;
};

using RouteTarget = std::variant<SingleTarget, WeightedTarget, ShardedTarget>;

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // A request that is not idempotent is executed at most once.
  bool idempotent = false;
  Rank rank = Rank::kNormal;
  // Callers need no key, even if the set of routes names organisations.
  bool is_public = false;
  // Maximum number of servers that a request may be sent to, per shard.
  uint32_t attempts = 1;
  // Maximum time until the request is answered.
  Duration timeout = Duration::zero();
  // Answers within this time have their full value.
  Duration target_latency = Duration::zero();
  RouteTarget target;

  bool operator==(const Route&) const = default;
};

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_H_
