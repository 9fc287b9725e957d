// State machine of a query.

#include "gooseberryrock/query/query_machine.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/build_answer.h"

namespace gooseberryrock::query {

namespace {

// Maximum number of server crashes after which a single-shard query is still
// retried.
constexpr uint32_t kMaxCrashesSingleShard = 1;

SteadyTime AnswerTime(const QueryState& state) {
  SteadyTime time = state.request.deadline - state.policy.answer_margin;
  if (state.policy.partial_answer_after) {
    time = std::min(time, state.started + *state.policy.partial_answer_after);
  }
  return time;
}

AttemptToSend OpenAttempt(QueryState& state,
                          size_t shard_index,
                          AttemptIdSource& ids,
                          AttemptCause cause) {
  ShardState& shard = state.shards[shard_index];
  const AttemptId id = ids.next;
  ids.next += ids.step;
  state.attempts[id] = {shard_index, {}, {}};
  ++shard.attempts_made;
  ++shard.attempts_open;
  return {id,
          shard.shard,
          state.plan.snapshot,
          shard.tried,
          state.request.deadline - state.policy.answer_margin,
          cause};
}

void CloseShard(QueryState& state, ShardState& shard) {
  if (!shard.answered && !shard.given_up) {
    --state.shards_open;
  }
}

bool IsShardOpen(const ShardState& shard) {
  return !shard.answered && !shard.given_up;
}

void CancelAllAttempts(QueryState& state, QueryEffects& effects) {
  for (const auto& [id, attempt] : state.attempts) {
    effects.cancel.push_back({id, attempt.server, attempt.routed_at});
  }
  state.attempts.clear();
}

void Finish(QueryState& state, QueryEffects& effects, bool deadline_passed) {
  effects.answer = BuildAnswer(state, deadline_passed);
  CancelAllAttempts(state, effects);
  effects.send.clear();
  effects.find_newer_snapshot = false;
  effects.next_timer.reset();
  state.finished = true;
}

// A shard whose servers no longer have the pinned snapshot can only be answered
// from a newer one, and then all shards must use the newer one. A
// non-idempotent request restarts only if no attempt can have run.
bool CanRestart(const QueryState& state, const ShardState& shard) {
  return shard.snapshot_lost && !state.awaiting_newer_snapshot &&
         state.restarts < state.policy.max_restarts &&
         (state.request.idempotent || !AnyAttemptMayHaveRun(state));
}

bool CanRetry(const QueryState& state,
              const ShardState& shard,
              AttemptFailure failure) {
  if (shard.attempts_made >= state.policy.max_attempts_per_shard) {
    return false;
  }
  if (failure == AttemptFailure::kServerCrashed && state.shards.size() == 1 &&
      state.server_crashes > kMaxCrashesSingleShard) {
    return false;
  }
  return state.request.idempotent ||
         (!shard.may_have_run && !MayHaveRun(failure));
}

// Acquires permission for a retry. A retry after a silent connection does not
// use the budget, but is not made while a hedge is open: if the server is
// merely slow, a third attempt would be wasted.
bool AcquireRetry(const ShardState& shard,
                  AttemptFailure failure,
                  AttemptBudget& budget) {
  if (failure == AttemptFailure::kConnectionSilent) {
    return shard.attempts_open == 0;
  }
  return SpendBudget(budget);
}

void CancelAttemptsOn(QueryState& state,
                      size_t shard_index,
                      QueryEffects& effects) {
  // Without a hedge, the answered attempt was the only one. Scanning all
  // attempts for each reply would make a query quadratic in its fan-out.
  if (state.shards[shard_index].attempts_open <= 1) {
    state.shards[shard_index].attempts_open = 0;
    return;
  }
  for (auto it = state.attempts.begin(); it != state.attempts.end();) {
    if (it->second.shard == shard_index) {
      effects.cancel.push_back(
          {it->first, it->second.server, it->second.routed_at});
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
  // After a crash, hedges wait for an answer of any shard, as deferred retries
  // do.
  const bool may_crash_servers =
      state.server_crashes > 0 && !AnyShardAnswered(state);
  if (!state.request.idempotent || may_crash_servers) {
    return;
  }
  for (size_t i = 0; i < state.shards.size(); ++i) {
    const ShardState& shard = state.shards[i];
    if (IsShardOpen(shard) && shard.attempts_open == 1 &&
        shard.attempts_made < state.policy.max_attempts_per_shard &&
        SpendBudget(budget)) {
      effects.send.push_back(OpenAttempt(state, i, ids, AttemptCause::kHedge));
    }
  }
}

SteadyTime NextTimer(const QueryState& state) {
  SteadyTime next = AnswerTime(state);
  if (state.policy.hedge_delay && !state.hedged) {
    next = std::min(next, state.round_started + *state.policy.hedge_delay);
  }
  return next;
}

// Opens one attempt per shard of the plan.
void StartRound(QueryState& state,
                AttemptIdSource& ids,
                QueryEffects& effects,
                SteadyTime now) {
  state.round_started = now;
  state.hedged = false;
  state.shards.clear();
  for (const ShardId& shard_id : state.plan.shards) {
    ShardState shard;
    shard.shard = shard_id;
    state.shards.push_back(std::move(shard));
  }
  state.shards_open = state.shards.size();
  for (size_t i = 0; i < state.shards.size(); ++i) {
    effects.send.push_back(OpenAttempt(state, i, ids, AttemptCause::kFirst));
  }
  effects.next_timer = NextTimer(state);
}

// A request may crash every server that runs it; an answer of any shard shows
// that it does not. Retries of a multi-shard query after a crash wait for one.
bool ShouldDeferRetry(const QueryState& state, AttemptFailure failure) {
  return failure == AttemptFailure::kServerCrashed && state.shards.size() > 1 &&
         !AnyShardAnswered(state);
}

// Opens the deferred retries; called when a shard has answered.
void OpenDeferredRetries(QueryState& state,
                         AttemptIdSource& ids,
                         AttemptBudget& budget,
                         QueryEffects& effects) {
  if (state.deferred_retries == 0) {
    return;
  }
  state.deferred_retries = 0;
  for (size_t i = 0; i < state.shards.size(); ++i) {
    ShardState& shard = state.shards[i];
    if (!std::exchange(shard.retry_deferred, false)) {
      continue;
    }
    if (SpendBudget(budget)) {
      effects.send.push_back(OpenAttempt(state, i, ids, AttemptCause::kRetry));
    } else {
      CloseShard(state, shard);
      shard.given_up = true;
    }
  }
}

// Abandons the deferred retries if no open attempt is left whose answer would
// allow them.
void GiveUpDeferredRetries(QueryState& state) {
  if (state.deferred_retries == 0 || !state.attempts.empty()) {
    return;
  }
  state.deferred_retries = 0;
  for (ShardState& shard : state.shards) {
    if (std::exchange(shard.retry_deferred, false)) {
      CloseShard(state, shard);
      shard.given_up = true;
    }
  }
}

void FinishIfDone(QueryState& state, QueryEffects& effects, SteadyTime now) {
  GiveUpDeferredRetries(state);
  if (state.shards_open == 0 && !state.awaiting_newer_snapshot) {
    Finish(state, effects, /*deadline_passed=*/now >= AnswerTime(state));
  }
}

}  // namespace

QueryEffects StartQuery(QueryState& state,
                        AttemptIdSource& ids,
                        AttemptBudget& budget,
                        SteadyTime now) {
  QueryEffects effects;
  state.started = now;
  StartRound(state, ids, effects, now);
  if (now >= AnswerTime(state)) {
    Finish(state, effects, /*deadline_passed=*/true);
    return effects;
  }
  EarnBudget(budget, static_cast<double>(state.shards.size()));
  return effects;
}

bool OnAttemptRouted(QueryState& state,
                     AttemptId attempt,
                     const BackendServerId& server,
                     SteadyTime now) {
  auto it = state.attempts.find(attempt);
  if (it == state.attempts.end()) {
    return false;
  }
  it->second.server = server;
  it->second.routed_at = now;
  state.shards[it->second.shard].tried.push_back(server);
  return true;
}

QueryEffects OnReply(QueryState& state,
                     SubqueryReply reply,
                     AttemptIdSource& ids,
                     AttemptBudget& budget,
                     SteadyTime now) {
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
    return OnAttemptFailed(state, reply.attempt,
                           AttemptFailure::kConnectionLost, ids, budget, now);
  }
  state.attempts.erase(it);
  CloseShard(state, shard);
  shard.answered = true;
  shard.rows = std::move(reply.rows);
  shard.rows_missing = !reply.all_rows;
  CancelAttemptsOn(state, shard_index, effects);
  OpenDeferredRetries(state, ids, budget, effects);
  FinishIfDone(state, effects, now);
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
  ShardState& shard = state.shards[shard_index];
  if (failure == AttemptFailure::kConnectionSilent) {
    // Not counted against the server, which may be used again on a new
    // connection. The replacement rate of connections limits these retries.
    std::erase(shard.tried, it->second.server);
    --shard.attempts_made;
  }
  state.attempts.erase(it);
  --shard.attempts_open;
  // A retry that found no server must not replace the earlier failure.
  if (routed || shard.attempts_made <= 1) {
    shard.last_failure = failure;
  }
  shard.may_have_run = shard.may_have_run || MayHaveRun(failure);
  shard.snapshot_lost =
      shard.snapshot_lost || failure == AttemptFailure::kNoSnapshot;
  if (failure == AttemptFailure::kServerCrashed) {
    ++state.server_crashes;
  }
  const bool in_time = now < AnswerTime(state);
  const bool may_retry = routed && in_time && CanRetry(state, shard, failure);
  if (may_retry && shard.attempts_open == 0 && !shard.retry_deferred &&
      ShouldDeferRetry(state, failure)) {
    shard.retry_deferred = true;
    ++state.deferred_retries;
    FinishIfDone(state, effects, now);
    return effects;
  }
  if (may_retry && AcquireRetry(shard, failure, budget)) {
    effects.send.push_back(
        OpenAttempt(state, shard_index, ids, AttemptCause::kRetry));
    return effects;
  }
  if (shard.attempts_open == 0) {
    CloseShard(state, shard);
    shard.given_up = true;
    if (in_time && CanRestart(state, shard)) {
      state.awaiting_newer_snapshot = true;
      effects.find_newer_snapshot = true;
    }
  }
  FinishIfDone(state, effects, now);
  return effects;
}

QueryEffects OnNewerSnapshot(QueryState& state,
                             std::optional<QueryPlan> plan,
                             AttemptIdSource& ids,
                             SteadyTime now) {
  QueryEffects effects;
  if (state.finished || !state.awaiting_newer_snapshot) {
    return effects;
  }
  state.awaiting_newer_snapshot = false;
  const auto given_up =
      std::count_if(state.shards.begin(), state.shards.end(),
                    [](const ShardState& s) { return s.given_up; });
  const size_t reachable = state.shards.size() - static_cast<size_t>(given_up);
  // Cross-multiplied comparison of shares, because the layouts may differ in
  // size.
  if (!plan || now >= AnswerTime(state) ||
      plan->covered * state.shards.size() <= reachable * plan->shards.size()) {
    FinishIfDone(state, effects, now);
    return effects;
  }
  state.ran_before_restart =
      AnyShardAnswered(state) || AnyAttemptMayHaveRun(state);
  CancelAllAttempts(state, effects);
  ++state.restarts;
  state.plan = std::move(*plan);
  StartRound(state, ids, effects, now);
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
      now >= state.round_started + *state.policy.hedge_delay) {
    HedgeOpenShards(state, ids, budget, effects);
  }
  effects.next_timer = NextTimer(state);
  return effects;
}

}  // namespace gooseberryrock::query
