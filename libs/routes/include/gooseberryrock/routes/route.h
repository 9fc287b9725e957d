// One rule that says which backend servers serve a request.

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

// The whole request goes to one server of the service.
struct SingleTarget {
  ServiceName service;

  bool operator==(const SingleTarget&) const = default;
};

struct WeightedService {
  ServiceName service;
  uint32_t weight = 0;

  bool operator==(const WeightedService&) const = default;
};

// The request goes to one server of one of the services, each of which gets a
// share of the requests in proportion to its weight.
struct WeightedTarget {
  std::vector<WeightedService> services;

  bool operator==(const WeightedTarget&) const = default;
};

// The request goes to one server of each of the services, the shards. The
// answer holds the greatest records of all replies.
struct ShardedTarget {
  std::vector<ServiceName> shards;
  // Records in the answer.
  uint32_t top_records = 0;
  // Least share of the shards, in [0, 1], that a successful answer covers.
  double least_coverage = 1;

  bool operator==(const ShardedTarget&) const = default;
};

using RouteTarget = std::variant<SingleTarget, WeightedTarget, ShardedTarget>;

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // A request that is not idempotent runs at most once.
  bool idempotent = false;
  Rank rank = Rank::kNormal;
  // Servers that one request may be sent to; for each shard.
  uint32_t attempts = 1;
  // A request is not kept waiting for longer.
  Duration timeout = Duration::zero();
  // An answer within this time has its full value.
  Duration target_latency = Duration::zero();
  RouteTarget target;

  bool operator==(const Route&) const = default;
};

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_H_
