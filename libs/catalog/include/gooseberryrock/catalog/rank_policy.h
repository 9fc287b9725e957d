// What an operator sets for one rank of one service.

#ifndef GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_
#define GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::catalog {

struct RankPolicy {
  // Answers of this rank are meant to be ready within this time.
  Duration target_latency = std::chrono::milliseconds(200);
  // Share of the service's capacity, in [0, 1], that this rank keeps while
  // other ranks flood the service. The floors of a service sum to at most 1.
  double floor_share = 0.1;
  // Whether a slow attempt may be repeated on another backend server.
  bool hedging = true;
  // True: wait for missing shards until just before the deadline. False: answer
  // with the shards at hand once the target latency has passed.
  bool prefer_coverage = true;

  auto operator<=>(const RankPolicy&) const = default;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_RANK_POLICY_H_
