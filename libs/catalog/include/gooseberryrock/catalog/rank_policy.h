// Operator settings for one rank of one service.

#ifndef GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_
#define GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::catalog {

struct RankPolicy {
  // Answers of this rank should be ready within this time.
  Duration target_latency = std::chrono::milliseconds(200);
  // Share of the capacity of the service, in [0, 1], guaranteed to this rank
  // when other ranks overload the service. The floors of a service sum to at
  // most 1.
  double floor_share = 0.1;
  // Whether a slow attempt may be hedged on another backend server.
  bool hedging = true;
  // True: wait for missing shards until just before the deadline. False: answer
  // with the available shards after the target latency.
  bool prefer_coverage = true;

  auto operator<=>(const RankPolicy&) const = default;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_
