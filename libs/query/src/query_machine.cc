// The life of a query as a state machine.

#include "gooseberryrock/query/query_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryrock/query/attempt_budget.h"

namespace gooseberryrock::query {

namespace {

SteadyTime AnswerTime(const QueryState& state) {
  SteadyTime time = state.request.deadline - state.policy.answer_margin;
  if (state.policy.settle_after) {
    time = std::min(time, state.started + *state.policy.settle_after);
  }
  return time;
}

AttemptToSend OpenAttempt(QueryState& state,
                          size_t shard_index,
                          AttemptIdSource& ids) {
  ShardState& shard = state.shards[shard_index];
  const AttemptId id = ids.next;
  ids.next += ids.step;
  state.attempts[id] = {shard_index, {}};
  ++shard.attempts_made;
  ++shard.attempts_open;
  return {id, shard.shard, state.plan.snapshot, shard.tried,
          state.request.deadline - state.policy.answer_margin};
}

void CloseShard(QueryState& state, ShardState& shard) {
  if (!shard.answered && !shard.given_up) {
    --state.shards_open;
  }
}

bool IsShardOpen(const ShardState& shard) {
  return !shard.answered && !shard.given_up;
}

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
      return AnswerReason::kConnectionLost;
  }
  return AnswerReason::kNone;
}

// Takes up to `row_limit` rows of the shards' replies, in the order of shards.
// Returns whether rows were left out.
bool MergeRows(QueryState& state, Answer& answer) {
  const size_t limit = state.request.row_limit;
  bool left_out = false;
  for (ShardState& shard : state.shards) {
    const size_t room = limit - answer.rows.size();
    const size_t n = std::min(room, shard.rows.size());
    std::move(shard.rows.begin(),
              shard.rows.begin() + static_cast<std::ptrdiff_t>(n),
              std::back_inserter(answer.rows));
    if (n < shard.rows.size()) {
      answer.missing_shards.push_back(shard.shard);
      left_out = true;
    }
  }
  return left_out;
}

// Whether an attempt without a reply may have run or may still run.
bool MayHaveRunSomewhere(const QueryState& state) {
  const bool routed_open =
      std::any_of(state.attempts.begin(), state.attempts.end(),
                  [](const auto& it) { return !it.second.server.empty(); });
  return routed_open ||
         std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& s) { return s.may_have_run; });
}

bool AnyShardAnswered(const QueryState& state) {
  return std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& s) { return s.answered; });
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
  if (!MayHaveRunSomewhere(state)) {
    answer.status = AnswerStatus::kNotRun;
  } else if (worst == AttemptFailure::kServerError && !deadline_passed) {
    answer.status = AnswerStatus::kFailed;
  } else {
    answer.status = AnswerStatus::kOutcomeUnknown;
  }
  return answer;
}

Answer BuildAnswer(QueryState& state, bool deadline_passed) {
  Answer answer;
  if (AnyShardAnswered(state)) {
    for (const ShardState& shard : state.shards) {
      if (!shard.answered || shard.rows_missing) {
        answer.missing_shards.push_back(shard.shard);
      }
    }
    if (!answer.missing_shards.empty()) {
      answer.reason = deadline_passed ? AnswerReason::kDeadlinePassed
                                      : ReasonFor(WorstFailure(state));
    }
    if (MergeRows(state, answer)) {
      answer.reason = AnswerReason::kRowLimit;
    }
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

// An attempt without a server was not sent, so that there is nothing to cancel.
void Cancel(AttemptId id, const AttemptState& attempt, QueryEffects& effects) {
  if (!attempt.server.empty()) {
    effects.cancel.push_back({id, attempt.server});
  }
}

void Finish(QueryState& state, QueryEffects& effects, bool deadline_passed) {
  effects.answer = BuildAnswer(state, deadline_passed);
  for (const auto& [id, attempt] : state.attempts) {
    Cancel(id, attempt, effects);
  }
  effects.send.clear();
  effects.next_timer.reset();
  state.attempts.clear();
  state.finished = true;
}

bool MayRetry(const QueryState& state,
              const ShardState& shard,
              AttemptFailure failure) {
  if (shard.attempts_made >= state.policy.max_attempts_per_shard) {
    return false;
  }
  return state.request.idempotent || !MayHaveRun(failure);
}

void CancelAttemptsOn(QueryState& state,
                      size_t shard_index,
                      QueryEffects& effects) {
  for (auto it = state.attempts.begin(); it != state.attempts.end();) {
    if (it->second.shard == shard_index) {
      Cancel(it->first, it->second, effects);
      it = state.attempts.erase(it);
    } else {
      ++it;
    }
  }
  state.shards[shard_index].attempts_open = 0;
}

void HedgeOpenShards(QueryState& state,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     QueryEffects& effects) {
  state.hedged = true;
  if (!state.request.idempotent) {
    return;
  }
  for (size_t i = 0; i < state.shards.size(); ++i) {
    const ShardState& shard = state.shards[i];
    if (IsShardOpen(shard) && shard.attempts_open == 1 &&
        shard.attempts_made < state.policy.max_attempts_per_shard &&
        SpendBudget(budget)) {
      effects.send.push_back(OpenAttempt(state, i, ids));
    }
  }
}

SteadyTime NextTimer(const QueryState& state) {
  SteadyTime next = AnswerTime(state);
  if (state.policy.hedge_delay && !state.hedged) {
    next = std::min(next, state.started + *state.policy.hedge_delay);
  }
  return next;
}

}  // namespace

QueryEffects StartQuery(QueryState& state,
                        AttemptIdSource& ids,
                        AttemptBudget& budget,
                        SteadyTime now) {
  QueryEffects effects;
  state.started = now;
  for (const ShardId& shard_id : state.plan.shards) {
    ShardState shard;
    shard.shard = shard_id;
    state.shards.push_back(std::move(shard));
  }
  state.shards_open = state.shards.size();
  if (now >= AnswerTime(state)) {
    Finish(state, effects, /*deadline_passed=*/true);
    return effects;
  }
  for (size_t i = 0; i < state.shards.size(); ++i) {
    effects.send.push_back(OpenAttempt(state, i, ids));
  }
  EarnBudget(budget, static_cast<double>(state.shards.size()));
  effects.next_timer = NextTimer(state);
  return effects;
}

bool OnAttemptRouted(QueryState& state,
                     AttemptId attempt,
                     const BackendServerId& server) {
  auto it = state.attempts.find(attempt);
  if (it == state.attempts.end()) {
    return false;
  }
  it->second.server = server;
  state.shards[it->second.shard].tried.push_back(server);
  return true;
}

QueryEffects OnReply(QueryState& state,
                     SubqueryReply reply,
                     SteadyTime /*now*/) {
  QueryEffects effects;
  auto it = state.attempts.find(reply.attempt);
  if (it == state.attempts.end()) {
    ++state.dropped_replies;
    return effects;
  }
  const size_t shard_index = it->second.shard;
  ShardState& shard = state.shards[shard_index];
  if (reply.shard != shard.shard || reply.snapshot != state.plan.snapshot ||
      !reply.end_marker) {
    ++state.dropped_replies;
    return effects;
  }
  state.attempts.erase(it);
  CloseShard(state, shard);
  shard.answered = true;
  shard.rows = std::move(reply.rows);
  shard.rows_missing = !reply.all_rows;
  CancelAttemptsOn(state, shard_index, effects);
  if (state.shards_open == 0) {
    Finish(state, effects, /*deadline_passed=*/false);
  }
  return effects;
}

QueryEffects OnAttemptFailed(QueryState& state,
                             AttemptId attempt,
                             AttemptFailure failure,
                             AttemptIdSource& ids,
                             AttemptBudget& budget,
                             SteadyTime now) {
  QueryEffects effects;
  auto it = state.attempts.find(attempt);
  if (it == state.attempts.end()) {
    return effects;
  }
  const size_t shard_index = it->second.shard;
  const bool routed = !it->second.server.empty();
  state.attempts.erase(it);
  ShardState& shard = state.shards[shard_index];
  --shard.attempts_open;
  shard.last_failure = failure;
  shard.may_have_run = shard.may_have_run || MayHaveRun(failure);
  const bool in_time = now < AnswerTime(state);
  if (routed && in_time && MayRetry(state, shard, failure) &&
      SpendBudget(budget)) {
    effects.send.push_back(OpenAttempt(state, shard_index, ids));
    return effects;
  }
  if (shard.attempts_open == 0) {
    CloseShard(state, shard);
    shard.given_up = true;
  }
  if (state.shards_open == 0) {
    Finish(state, effects, /*deadline_passed=*/!in_time);
  }
  return effects;
}

QueryEffects OnTimer(QueryState& state,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     SteadyTime now) {
  QueryEffects effects;
  if (state.finished) {
    return effects;
  }
  if (now >= AnswerTime(state)) {
    Finish(state, effects, /*deadline_passed=*/true);
    return effects;
  }
  if (state.policy.hedge_delay && !state.hedged &&
      now >= state.started + *state.policy.hedge_delay) {
    HedgeOpenShards(state, ids, budget, effects);
  }
  effects.next_timer = NextTimer(state);
  return effects;
}

}  // namespace gooseberryrock::query
