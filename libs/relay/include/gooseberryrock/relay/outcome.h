// The final result of a request.

#ifndef GOOSEBERRYROCK_RELAY_OUTCOME_H_
#define GOOSEBERRYROCK_RELAY_OUTCOME_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

using AttemptNumber = uint32_t;

// The server's reply to this attempt is forwarded unchanged.
struct RelayedOutcome {
  AttemptNumber attempt = 0;
};

struct GatheredOutcome {
  std::string body;
  // One per shard that replied.
  std::vector<std::string> digests;
  uint32_t missing_shards = 0;
  // The answer was sent without some shards in order to meet the target
  // latency.
  bool settled_early = false;
};

enum class RefusalReason {
  kNoServer,
  kShardsUnavailable,
  kOverloaded,
  kServersRefused,
  // The servers accept fewer requests per second.
  kServersLimited,
  // The servers want no requests for some time.
  kServersResting,
  // Servers crash when they run the request.
  kCrashesServers,
  kNotInTime,
  // The node does not know whether its configuration is the newest one.
  kConfigurationNotConfirmed,
};

// The request was not executed and will not be.
struct RefusedOutcome {
  RefusalReason reason = RefusalReason::kNoServer;
  Duration retry_after = Duration::zero();
};

enum class FailureReason {
  // No reply arrived before the deadline.
  kTimeout,
  // The connection to the server was lost; the request may have been executed.
  kConnectionLost,
  // Fewer shards replied than the route requires.
  kTooFewShards,
  // The replies took too much memory.
  kRepliesTooLarge,
};

struct FailedOutcome {
  FailureReason reason = FailureReason::kTimeout;
};

using Outcome = std::
    variant<RelayedOutcome, GatheredOutcome, RefusedOutcome, FailedOutcome>;

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_OUTCOME_H_
