// What a caller gets.

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
  // Every shard answered and every row is there.
  kComplete,
  // Some rows may be missing; the coverage says which shards.
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
  // For kNotRun: when it makes sense to send the request again.
  std::optional<Duration> retry_after;
};

// "complete", "partial", "not_run", "outcome_unknown" or "failed".
std::string_view AnswerStatusName(AnswerStatus status);

// Snake case name of `reason`; empty for kNone.
std::string_view AnswerReasonName(AnswerReason reason);

// The status or reason with the name `name`, or nothing when there is none.
std::optional<AnswerStatus> ParseAnswerStatus(std::string_view name);
std::optional<AnswerReason> ParseAnswerReason(std::string_view name);

// An answer of a request that did not run.
Answer NotRun(AnswerReason reason,
              std::optional<Duration> retry_after = std::nullopt);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ANSWER_H_
