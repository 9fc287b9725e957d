// Parameters of one query, derived from the rank policy and the estimates.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_
#define GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct QueryPolicy {
  // The answer is sent this long before the deadline to allow for the way back
  // to the caller.
  Duration answer_margin = std::chrono::milliseconds(5);
  // Delay before a second attempt for a shard starts; no hedging when empty.
  std::optional<Duration> hedge_delay;
  // Time after which the query returns a partial answer instead of waiting for
  // the remaining shards; when empty, it waits until the deadline.
  std::optional<Duration> partial_answer_after;
  uint32_t max_attempts_per_shard = 3;
  // Number of restarts at a newer snapshot. Each restart costs one attempt per
  // shard. Index versions are seconds apart, so a query that would need more
  // restarts returns a partial answer instead.
  uint32_t max_restarts = 2;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_POLICY_H_
