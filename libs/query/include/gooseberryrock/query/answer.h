// The answer to a caller's request.

#ifndef GOOSEBERRYROCK_QUERY_ANSWER_H_
#define GOOSEBERRYROCK_QUERY_ANSWER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/snapshot.h"

namespace gooseberryrock::query {

enum class AnswerStatus {
  // Every shard answered with all of its rows.
  kComplete,
  // Rows may be missing; Answer::missing_shards lists the shards.
  kPartial,
  // No part of the request has run or will run.
  kNotRun,
  // The request may have run or may still run.
  kOutcomeUnknown,
  // The request ran and failed.
  kFailed,
};

enum class AnswerReason {
  kNone,
  kOverloaded,
  kDeadlineTooShort,
  kDeadlinePassed,
  kNoBackendServer,
  kRefusedByBackendServers,
  kStopping,
  kUnknownService,
  kNoQuorum,
  kRequestIdExpired,
  kRequestIdReused,
  kStillRunning,
  kCrashesBackendServers,
  kConnectionLost,
  kBackendServerError,
  kRowLimit,
};

struct Answer {
  AnswerStatus status = AnswerStatus::kFailed;
  AnswerReason reason = AnswerReason::kNone;
  Snapshot snapshot;
  // Shards of the pinned layout that the request addresses.
  size_t shards_total = 0;
  // Addressed shards whose rows are not all in the answer.
  std::vector<ShardId> missing_shards;
  std::vector<std::string> rows;
  // For kNotRun: suggested delay before the caller resends the request.
  std::optional<Duration> retry_after;
};

// "complete", "partial", "not_run", "outcome_unknown" or "failed".
std::string_view AnswerStatusName(AnswerStatus status);

// Snake case name of `reason`; empty for kNone.
std::string_view AnswerReasonName(AnswerReason reason);

// Return the status or reason with the given name, or nothing if the name is
// unknown.
std::optional<AnswerStatus> ParseAnswerStatus(std::string_view name);
std::optional<AnswerReason> ParseAnswerReason(std::string_view name);

// Returns the answer to a request that was not run.
Answer NotRun(AnswerReason reason,
              std::optional<Duration> retry_after = std::nullopt);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ANSWER_H_
