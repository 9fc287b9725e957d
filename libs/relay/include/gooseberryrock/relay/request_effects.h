// What the runtime has to do after an event of a request.

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
  // Of the part that the attempt is for.
  ServicePool* pool = nullptr;
  BackendServerId server;
  AttemptCause cause = AttemptCause::kFirst;
};

// No one waits for the reply of the attempt any more. When it was sent, the
// runtime reads the reply all the same, to keep the connection and to learn how
// fast the server is, unless `close` is set.
struct AttemptToDrop {
  AttemptNumber number = 0;
  bool close = false;
};

struct RequestEffects {
  std::vector<AttemptToSend> send;
  std::vector<AttemptToDrop> drop;
  // Sent attempts that are now beyond the usual time, to be counted in
  // ServerStats::overdue until they end.
  std::vector<AttemptNumber> overdue;
  // When to call OnTimer() next.
  std::optional<SteadyTime> next_timer;
  // Set once, when the request has ended.
  std::optional<Outcome> outcome;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_EFFECTS_H_
