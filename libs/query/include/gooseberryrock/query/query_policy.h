// Parameters of one query, derived from the rank policy and the estimates.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_
#define GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct QueryPolicy {
  // The answer is given this long before the deadline, so that it reaches the
  // caller in time.
  Duration answer_margin = std::chrono::milliseconds(5);
  // When a second attempt for a shard starts; never when empty.
  std::optional<Duration> hedge_delay;
  // When to answer without the missing shards although the deadline has not
  // come; at the deadline when empty.
  std::optional<Duration> settle_after;
  uint32_t max_attempts_per_shard = 3;
  // Times that the query may start again at a newer snapshot. Each costs one
  // attempt for each shard, and index versions change seconds apart, so that a
  // query that needs more is better answered in part.
  uint32_t max_restarts = 2;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_
