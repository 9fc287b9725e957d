// How a request ends.

#ifndef GOOSEBERRYROCK_RELAY_OUTCOME_H_
#define GOOSEBERRYROCK_RELAY_OUTCOME_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

using AttemptNumber = uint32_t;

// The reply of the server to this attempt is passed on unchanged.
struct RelayedOutcome {
  AttemptNumber attempt = 0;
};

struct GatheredOutcome {
  std::string body;
  // Of the replies that are in, one for each shard.
  std::vector<std::string> digests;
  uint32_t missing_shards = 0;
  // Before the target latency some shards were left out to be in time.
  bool settled_early = false;
};

enum class RefusalReason {
  kNoServer,
  kShardsUnavailable,
  kOverloaded,
  kServersRefused,
  kNotInTime,
};

// The request did not run and never will.
struct RefusedOutcome {
  RefusalReason reason = RefusalReason::kNoServer;
  Duration retry_after = Duration::zero();
};

enum class FailureReason {
  // No reply came in time.
  kTimeout,
  // The connection to the server was lost; the request may have run.
  kConnectionLost,
  // Too few shards answered.
  kTooFewShards,
};

struct FailedOutcome {
  FailureReason reason = FailureReason::kTimeout;
};

using Outcome = std::
    variant<RelayedOutcome, GatheredOutcome, RefusedOutcome, FailedOutcome>;

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_OUTCOME_H_
