// The state of one request that is relayed or gathered.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/outcome.h"
#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::relay {

struct ServicePool;

struct RequestAttempt {
  AttemptNumber number = 0;
  // Index into RequestState::parts.
  size_t part = 0;
  BackendServerId server;
  // When it was given to the runtime, or sent when `sent` is set.
  SteadyTime started;
  bool sent = false;
  // Beyond the usual time.
  bool overdue = false;
};

// One service that has to answer: the only one of a relayed request, or one
// shard of a gathered one.
struct RequestPart {
  // Owned by the I/O shard, which never removes a pool.
  ServicePool* pool = nullptr;
  bool answered = false;
  // No attempt is open and none will be made.
  bool failed = false;
  // Left out from the start, because its servers are busy or do not respond.
  bool skipped = false;
  // An attempt was sent and not refused by the server.
  bool may_have_run = false;
  // Attempts that reached a server, or may have.
  uint32_t sends = 0;
  // Attempts that were refused or could not be sent.
  uint32_t refusals = 0;
  uint32_t open_attempts = 0;
  std::vector<BackendServerId> tried;
  std::string digest;
  std::string body;
};

struct RequestState {
  // Outlives the state.
  const routes::Route* route = nullptr;
  SteadyTime received;
  // A gathered answer that covers enough is given then.
  SteadyTime settle_at;
  // The final answer is given then at the latest.
  SteadyTime final_at;
  // One for each service of the target, in the same order; one for a relayed
  // request.
  std::vector<RequestPart> parts;
  // The records in the answer; only of a gathered request.
  uint32_t top_records = 0;
  size_t least_parts = 1;
  // Open attempts only.
  std::vector<RequestAttempt> attempts;
  AttemptNumber next_attempt = 1;
  size_t parts_answered = 0;
  size_t parts_failed = 0;
  // The reply of this attempt is passed on when no better one comes; 0 is none.
  AttemptNumber failed_reply = 0;
  bool connection_lost = false;
  bool finished = false;

  bool IsGathered() const {
    return std::holds_alternative<routes::ShardedTarget>(route->target);
  }
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_
