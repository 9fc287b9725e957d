// The state of a relayed or gathered request.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
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
  // When the attempt was created, or when it was sent if `sent` is set.
  SteadyTime started;
  bool sent = false;
  // The server said that it processes the request.
  bool acknowledged = false;
  // Takes longer than OverdueAfter().
  bool overdue = false;
};

// One of the services that have to answer: the only one of a relayed request,
// or one shard of a gathered one. In a request that is passed on to gathering
// nodes, a part is the group of shards that one of them answers.
struct RequestPart {
  // Owned by the I/O shard, which never deletes a pool.
  ServicePool* pool = nullptr;
  // The shards of the group, as indexes into those of the route; empty for a
  // single service.
  std::vector<uint32_t> group;
  // Servers in this failure domain are preferred; if empty, those in the domain
  // of the node.
  FailureDomain domain;
  bool answered = false;
  // No attempt is in flight and none will be started.
  bool failed = false;
  // Left out from the start because its servers are overloaded or do not
  // respond.
  bool skipped = false;
  // An attempt was sent and the server did not refuse it.
  bool may_have_run = false;
  // Attempts that a server received or may have received.
  uint32_t sends = 0;
  // Attempts that were refused by the server.
  uint32_t refusals = 0;
  // Attempts that were given up because they were not acknowledged. They may
  // have been received all the same.
  uint32_t unacknowledged = 0;
  uint32_t open_attempts = 0;
  std::vector<BackendServerId> tried;
  // What has arrived so far; complete if `answered` is set.
  std::vector<std::string> digests;
  std::string body;
};

struct RequestState {
  // Must outlive the state.
  const routes::Route* route = nullptr;
  // Urgency of the request: that of the route, or of the caller's organisation.
  // Reply times are recorded by the rank of the route, which tells apart the
  // kinds of work.
  Rank rank = Rank::kNormal;
  SteadyTime received;
  // From this time on, a gathered answer is sent as soon as it has the minimum
  // coverage.
  SteadyTime partial_answer_at;
  // Deadline for the final answer.
  SteadyTime answer_deadline;
  // Set if the servers acknowledge a request before they process it. One that
  // does not within this time after the request was sent is given up, and the
  // request counts as not received by it.
  std::optional<Duration> acknowledge_within;
  // Maximum number of servers that a part may be sent to.
  uint32_t attempts = 1;
  // Maximum number of unacknowledged attempts of a part after which it is sent
  // to another gathering node.
  uint32_t max_unacknowledged = 0;
  // The node gathers for another one: at `partial_answer_at` it reports what
  // has arrived and goes on, because only the other node knows whether the
  // minimum coverage is reached.
  bool reports_progress = false;
  bool progress_reported = false;
  // One for each service of the target, in the same order; a single one for a
  // relayed request.
  std::vector<RequestPart> parts;
  // Number of records in the answer of a gathered request.
  uint32_t top_records = 0;
  // Minimum number of shards in an answer.
  size_t min_shards = 1;
  // Maximum number of shards that may be left out from the start.
  size_t max_skipped = 0;
  // Attempts in flight or waiting for a connection.
  std::vector<RequestAttempt> attempts_in_flight;
  AttemptNumber next_attempt = 1;
  size_t parts_answered = 0;
  size_t parts_failed = 0;
  // Attempt whose failure reply is forwarded if no attempt succeeds; 0 if there
  // is none.
  AttemptNumber failed_reply = 0;
  bool connection_lost = false;
  bool finished = false;

  bool IsGathered() const {
    return std::holds_alternative<routes::ShardedTarget>(route->target);
  }
  // Whether gathering nodes answer the parts.
  bool IsPassedOn() const { return acknowledge_within.has_value(); }
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_STATE_H_
