// Actions that the caller of the request state machine has to perform.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_EFFECTS_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_EFFECTS_H_

#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/outcome.h"

namespace gooseberryrock::relay {

struct ServicePool;

enum class AttemptCause { kFirst, kHedge, kRetry, kReroute };

struct AttemptToSend {
  AttemptNumber number = 0;
  // The service that the attempt is for.
  ServicePool* pool = nullptr;
  BackendServerId server;
  AttemptCause cause = AttemptCause::kFirst;
};

// An attempt whose reply is no longer needed. If it was sent, its reply is
// still read, to keep the connection and to measure the server, unless `close`
// is set.
struct AttemptToDrop {
  AttemptNumber number = 0;
  bool close = false;
  // The server did not acknowledge the attempt in time, which counts as a
  // failure of the server.
  bool unacknowledged = false;
};

struct RequestEffects {
  std::vector<AttemptToSend> send;
  std::vector<AttemptToDrop> drop;
  // Sent attempts that became overdue; they count in ServerStats::overdue until
  // they end.
  std::vector<AttemptNumber> overdue;
  // Report what has arrived so far to the node that passed the request on.
  bool report_progress = false;
  // When to call OnRequestTimer() next.
  std::optional<SteadyTime> next_timer;
  // Set exactly once, when the request has finished.
  std::optional<Outcome> outcome;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_EFFECTS_H_
