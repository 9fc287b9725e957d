// Builds the answer of a finished query.

#include "gooseberryrock/query/build_answer.h"

#include <algorithm>
#include <iterator>

#include "gooseberryrock/query/query_state.h"

namespace gooseberryrock::query {

namespace {

AnswerReason ReasonFor(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return AnswerReason::kNoBackendServer;
    case AttemptFailure::kRefused:
    case AttemptFailure::kNoSnapshot:
      return AnswerReason::kRefusedByBackendServers;
    case AttemptFailure::kServerError:
      return AnswerReason::kBackendServerError;
    case AttemptFailure::kConnectionLost:
    case AttemptFailure::kConnectionSilent:
    case AttemptFailure::kServerCrashed:
      return AnswerReason::kConnectionLost;
  }
  return AnswerReason::kNone;
}

// Moves up to `row_limit` rows of the replies into `answer`, in shard order.
// Returns whether rows were omitted.
bool MergeRows(QueryState& state, Answer& answer) {
  const size_t limit = state.request.row_limit;
  bool truncated = false;
  for (ShardState& shard : state.shards) {
    const size_t remaining = limit - answer.rows.size();
    const size_t n = std::min(remaining, shard.rows.size());
    std::move(shard.rows.begin(),
              shard.rows.begin() + static_cast<std::ptrdiff_t>(n),
              std::back_inserter(answer.rows));
    if (n < shard.rows.size()) {
      shard.rows_missing = true;
      truncated = true;
    }
  }
  return truncated;
}

AttemptFailure WorstFailure(const QueryState& state) {
  AttemptFailure worst = AttemptFailure::kNotSent;
  for (const ShardState& shard : state.shards) {
    if (!shard.answered) {
      worst = std::max(worst, shard.last_failure);
    }
  }
  return worst;
}

Answer AnswerWithoutRows(const QueryState& state, bool deadline_passed) {
  const AttemptFailure worst = WorstFailure(state);
  const AnswerReason reason =
      deadline_passed ? AnswerReason::kDeadlinePassed : ReasonFor(worst);
  Answer answer;
  answer.reason = reason;
  if (!AnyAttemptMayHaveRun(state)) {
    answer.status = AnswerStatus::kNotRun;
  } else if (worst == AttemptFailure::kServerError && !deadline_passed) {
    answer.status = AnswerStatus::kFailed;
  } else {
    answer.status = AnswerStatus::kOutcomeUnknown;
  }
  return answer;
}

AnswerReason PartialReason(const QueryState& state,
                           bool over_limit,
                           bool deadline_passed) {
  if (over_limit) {
    return AnswerReason::kRowLimit;
  }
  if (std::all_of(state.shards.begin(), state.shards.end(),
                  [](const ShardState& s) { return s.answered; })) {
    return std::any_of(state.shards.begin(), state.shards.end(),
                       [](const ShardState& s) { return s.rows_missing; })
               ? AnswerReason::kBackendServerError
               : AnswerReason::kNone;
  }
  return deadline_passed ? AnswerReason::kDeadlinePassed
                         : ReasonFor(WorstFailure(state));
}

}  // namespace

Answer BuildAnswer(QueryState& state, bool deadline_passed) {
  Answer answer;
  if (AnyShardAnswered(state)) {
    const bool over_limit = MergeRows(state, answer);
    for (const ShardState& shard : state.shards) {
      if (!shard.answered || shard.rows_missing) {
        answer.missing_shards.push_back(shard.shard);
      }
    }
    answer.reason = PartialReason(state, over_limit, deadline_passed);
    answer.status = answer.missing_shards.empty() ? AnswerStatus::kComplete
                                                  : AnswerStatus::kPartial;
  } else {
    answer = AnswerWithoutRows(state, deadline_passed);
    for (const ShardState& shard : state.shards) {
      answer.missing_shards.push_back(shard.shard);
    }
  }
  answer.snapshot = state.plan.snapshot;
  answer.shards_total = state.shards.size();
  return answer;
}

bool AnyAttemptMayHaveRun(const QueryState& state) {
  const bool routed_open =
      std::any_of(state.attempts.begin(), state.attempts.end(),
                  [](const auto& it) { return !it.second.server.empty(); });
  return state.ran_before_restart || routed_open ||
         std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& s) { return s.may_have_run; });
}

bool AnyShardAnswered(const QueryState& state) {
  return std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& s) { return s.answered; });
}

}  // namespace gooseberryrock::query
