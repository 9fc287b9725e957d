// State machine of a relayed or gathered request.

#include "gooseberryrock/relay/request_machine.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gathered_parts.h"
#include "gooseberryrock/relay/choose_server.h"
#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/server_reply.h"
#include "refusal.h"
#include "scale.h"
#include "shard_admission.h"

namespace gooseberryrock::relay {

namespace {

// Refused attempts after which a part of the request is not retried: the usual
// number of servers of a service.
constexpr uint32_t kMaxRefusals = 3;

enum class ServerFilter { kAnyServer, kHealthyServers };

RequestAttempt* Find(RequestState& state, AttemptNumber number) {
  auto it = std::find_if(
      state.attempts_in_flight.begin(), state.attempts_in_flight.end(),
      [number](const RequestAttempt& n) { return n.number == number; });
  return it == state.attempts_in_flight.end() ? nullptr : &*it;
}

// An attempt that was not sent does not count towards the server's limit.
void TakeBackUnsent(const RequestState& state,
                    const RequestAttempt& attempt,
                    SteadyTime now) {
  if (attempt.sent) {
    return;
  }
  if (PoolServer* server =
          FindServer(*state.parts[attempt.part].pool, attempt.server)) {
    TakeBackSend(server->request_limit, now);
  }
}

RequestAttempt Remove(RequestState& state,
                      AttemptNumber number,
                      SteadyTime now) {
  auto it = std::find_if(
      state.attempts_in_flight.begin(), state.attempts_in_flight.end(),
      [number](const RequestAttempt& n) { return n.number == number; });
  RequestAttempt attempt = std::move(*it);
  state.attempts_in_flight.erase(it);
  --state.parts[attempt.part].open_attempts;
  TakeBackUnsent(state, attempt, now);
  return attempt;
}

bool IsUnacknowledged(const RequestState& state,
                      const RequestAttempt& attempt) {
  return state.acknowledge_within && attempt.sent && !attempt.acknowledged;
}

Duration OverdueTime(const RequestState& state,
                     const RequestAttempt& attempt,
                     const RelayContext& context) {
  if (IsUnacknowledged(state, attempt)) {
    return *state.acknowledge_within;
  }
  if (attempt.acknowledged) {
    return state.route->target_latency;
  }
  return OverdueAfter(*state.parts[attempt.part].pool, context.policy,
                      state.route->rank, state.route->target_latency);
}

// Starts another attempt for the part. Returns false if no server is available.
bool AddAttempt(RequestState& state,
                size_t index,
                AttemptCause cause,
                ServerFilter filter,
                RelayContext context,
                SteadyTime now,
                RequestEffects& effects) {
  RequestPart& part = state.parts[index];
  Selection selection = SelectionOf(state);
  selection.excluded = part.tried;
  selection.only_connected = state.IsPassedOn();
  selection.domain = part.domain.empty() ? nullptr : &part.domain;
  selection.only_healthy = filter == ServerFilter::kHealthyServers;
  const auto server =
      ChooseServer(*part.pool, context.policy, selection, context.random, now);
  if (!server) {
    return false;
  }
  RequestAttempt attempt;
  attempt.number = state.next_attempt++;
  attempt.part = index;
  attempt.server = part.pool->servers[*server].id;
  attempt.started = now;
  part.tried.push_back(attempt.server);
  ++part.open_attempts;
  effects.send.push_back({attempt.number, part.pool, attempt.server, cause});
  state.attempts_in_flight.push_back(std::move(attempt));
  return true;
}

// Frees the records of a large reply that cannot be in the answer.
void KeepGreatestRecords(const RequestState& state, RequestPart& part) {
  constexpr size_t kLargeReply = size_t{64} << 10U;
  if (state.IsGathered() && part.body.size() > kLargeReply) {
    const std::string_view body = part.body;
    part.body = TopRecords({&body, 1}, state.top_records);
  }
}

// The server of an attempt that was sent did not run it.
void CountRefusal(RequestPart& part) {
  --part.sends;
  ++part.refusals;
  part.may_have_run = part.sends > 0;
}

// Gives up all attempts of a request that ends.
void DropAll(RequestState& state,
             bool close,
             SteadyTime now,
             RequestEffects& effects) {
  state.finished = true;
  for (const RequestAttempt& it : state.attempts_in_flight) {
    TakeBackUnsent(state, it, now);
    effects.drop.push_back({it.number, close});
  }
  state.attempts_in_flight.clear();
}

void Finish(RequestState& state,
            Outcome outcome,
            SteadyTime now,
            RequestEffects& effects) {
  DropAll(state, /*close=*/false, now, effects);
  effects.send.clear();
  effects.next_timer.reset();
  effects.outcome = std::move(outcome);
}

// A request that no gathering node has acknowledged may be gathered again: the
// attempts that were sent count as unacknowledged.
void GiveUpUnacknowledged(RequestState& state, RequestEffects& effects) {
  for (const RequestAttempt& it : state.attempts_in_flight) {
    RequestPart& part = state.parts[it.part];
    if (IsUnacknowledged(state, it) &&
        part.unacknowledged < state.max_unacknowledged) {
      ++part.unacknowledged;
      CountRefusal(part);
      effects.drop.push_back({it.number, /*close=*/true});
    }
  }
}

// Finishes a gathered request that lacks too many shards. Returns whether it
// did.
bool FinishIfTooFewShards(RequestState& state,
                          RelayContext context,
                          SteadyTime now,
                          RequestEffects& effects) {
  if (CountAvailable(state) >= state.min_shards) {
    return false;
  }
  GiveUpUnacknowledged(state, effects);
  Finish(state,
         FailureOutcome(state, RefusalReason::kShardsUnavailable, context, now),
         now, effects);
  return true;
}

// Finishes the request if no further reply is needed, or sets the next timer.
void FinishOrSetTimer(RequestState& state,
                      RelayContext context,
                      SteadyTime now,
                      RequestEffects& effects) {
  if (state.finished) {
    return;
  }
  const size_t n = state.parts.size();
  const bool all_ended = state.parts_answered + state.parts_failed == n;
  if (state.IsGathered()) {
    const bool enough = CountAnswered(state) >= state.min_shards;
    const bool is_due = now >= state.partial_answer_at;
    if (enough && (all_ended || (is_due && !state.reports_progress))) {
      Finish(state, MakeGatheredOutcome(state, !all_ended), now, effects);
      return;
    }
    if (enough && is_due && !state.progress_reported) {
      state.progress_reported = effects.report_progress = true;
    }
    if (FinishIfTooFewShards(state, context, now, effects)) {
      return;
    }
  } else if (all_ended) {
    Finish(state,
           FailureOutcome(state, RefusalReason::kServersRefused, context, now),
           now, effects);
    return;
  }
  SteadyTime next = state.answer_deadline;
  if (state.IsGathered() && now < state.partial_answer_at) {
    next = std::min(next, state.partial_answer_at);
  }
  for (const RequestAttempt& it : state.attempts_in_flight) {
    if (!it.overdue) {
      next = std::min(next, it.started + OverdueTime(state, it, context));
    }
  }
  effects.next_timer = next;
}

// Retries or fails the part after an attempt ended without an answer.
void RetryPart(RequestState& state,
               size_t index,
               RelayContext context,
               SteadyTime now,
               RequestEffects& effects) {
  RequestPart& part = state.parts[index];
  if (part.answered || part.open_attempts > 0) {
    return;
  }
  const bool repeatable = state.route->idempotent || !part.may_have_run;
  const bool allowed =
      repeatable && part.sends < state.attempts && part.refusals < kMaxRefusals;
  // A retry is free if no server has received an attempt yet.
  const bool is_free = part.sends == 0 && part.refusals == 0;
  if (allowed && (is_free || query::SpendBudget(part.pool->budget)) &&
      AddAttempt(state, index, AttemptCause::kRetry, ServerFilter::kAnyServer,
                 context, now, effects)) {
    return;
  }
  FailPart(state, part);
}

// Sends a part to another gathering node after an attempt that was not
// acknowledged, if it has another attempt.
void MoveUnacknowledged(RequestState& state,
                        size_t index,
                        RelayContext context,
                        SteadyTime now,
                        RequestEffects& effects) {
  RequestPart& part = state.parts[index];
  if (++part.unacknowledged > state.max_unacknowledged) {
    FailPart(state, part);
    return;
  }
  // The whole failure domain may be cut off.
  part.domain = {};
  CountRefusal(part);
  RetryPart(state, index, context, now, effects);
}

// Handles an overdue attempt: hedges it if that is allowed, or moves it to
// another server if it is still waiting for a connection.
void OnOverdue(RequestState& state,
               AttemptNumber number,
               RelayContext context,
               SteadyTime now,
               RequestEffects& effects) {
  RequestAttempt& attempt = *Find(state, number);
  if (IsUnacknowledged(state, attempt)) {
    const size_t part = Remove(state, number, now).part;
    effects.drop.push_back({number, /*close=*/true, /*unacknowledged=*/true});
    MoveUnacknowledged(state, part, context, now, effects);
    return;
  }
  attempt.overdue = true;
  const size_t index = attempt.part;
  RequestPart& part = state.parts[index];
  if (!attempt.sent) {
    if (AddAttempt(state, index, AttemptCause::kReroute,
                   ServerFilter::kHealthyServers, context, now, effects)) {
      Remove(state, number, now);
      effects.drop.push_back({number, /*close=*/false});
    }
    return;
  }
  effects.overdue.push_back(number);
  if (state.route->idempotent && part.sends < state.attempts &&
      part.open_attempts == 1 && part.pool->budget.tokens >= 1 &&
      AddAttempt(state, index, AttemptCause::kHedge,
                 ServerFilter::kHealthyServers, context, now, effects)) {
    query::SpendBudget(part.pool->budget);
  }
}

}  // namespace

RequestEffects StartRequest(RequestState& state,
                            RelayContext context,
                            SteadyTime now) {
  RequestEffects effects;
  if (now >= state.answer_deadline) {
    Finish(state, RefusedOutcome{RefusalReason::kNotInTime, kDefaultRetryAfter},
           now, effects);
    return effects;
  }
  if (state.IsGathered() && !state.IsPassedOn()) {
    SkipShards(state, context, now);
    if (FinishIfTooFewShards(state, context, now, effects)) {
      return effects;
    }
    if (const auto wait = UnresponsiveRetryDelay(state, context, now)) {
      Finish(state, RefusedOutcome{RefusalReason::kShardsUnavailable, *wait},
             now, effects);
      return effects;
    }
    if (const auto wait = OverloadRetryDelay(state, context, now)) {
      Finish(state, RefusedOutcome{RefusalReason::kOverloaded, *wait}, now,
             effects);
      return effects;
    }
  }
  for (size_t i = 0; i < state.parts.size(); ++i) {
    RequestPart& part = state.parts[i];
    query::RefillBudget(part.pool->budget, now);
    query::EarnBudget(part.pool->budget, 1);
    if (!part.skipped &&
        !AddAttempt(state, i, AttemptCause::kFirst, ServerFilter::kAnyServer,
                    context, now, effects)) {
      FailPart(state, part);
    }
  }
  if (state.parts_failed == state.parts.size()) {
    Finish(state, Refuse(state, RefusalReason::kNoServer, context, now), now,
           effects);
    return effects;
  }
  FinishOrSetTimer(state, context, now, effects);
  return effects;
}

RequestEffects OnAttemptSent(RequestState& state,
                             AttemptNumber attempt,
                             RelayContext context,
                             SteadyTime now) {
  RequestEffects effects;
  if (RequestAttempt* it = Find(state, attempt)) {
    it->sent = true;
    it->overdue = false;
    it->started = now;
    RequestPart& part = state.parts[it->part];
    part.may_have_run = true;
    ++part.sends;
    FinishOrSetTimer(state, context, now, effects);
  }
  return effects;
}

RequestEffects OnAttemptAcknowledged(RequestState& state,
                                     AttemptNumber attempt,
                                     RelayContext context,
                                     SteadyTime now) {
  RequestEffects effects;
  if (RequestAttempt* it = Find(state, attempt)) {
    it->acknowledged = true;
    FinishOrSetTimer(state, context, now, effects);
  }
  return effects;
}

RequestEffects OnAttemptProgress(RequestState& state,
                                 AttemptNumber attempt,
                                 ServerReply progress,
                                 RelayContext context,
                                 SteadyTime now) {
  RequestEffects effects;
  if (RequestAttempt* it = Find(state, attempt)) {
    it->acknowledged = true;
    RequestPart& part = state.parts[it->part];
    part.digests = std::move(progress.digests);
    part.body = std::move(progress.body);
    FinishOrSetTimer(state, context, now, effects);
  }
  return effects;
}

RequestEffects OnAttemptReply(RequestState& state,
                              AttemptNumber number,
                              ServerReply reply,
                              RelayContext context,
                              SteadyTime now) {
  RequestEffects effects;
  if (Find(state, number) == nullptr) {
    return effects;
  }
  const RequestAttempt attempt = Remove(state, number, now);
  RequestPart& part = state.parts[attempt.part];
  if (part.answered) {
    return effects;
  }
  if (reply.kind == ReplyKind::kSuccess) {
    part.answered = true;
    ++state.parts_answered;
    part.digests = std::move(reply.digests);
    if (part.digests.empty()) {
      part.digests.push_back(std::move(reply.digest));
    }
    part.body = std::move(reply.body);
    KeepGreatestRecords(state, part);
    if (!state.IsGathered()) {
      Finish(state, RelayedOutcome{number}, now, effects);
      return effects;
    }
    for (size_t i = state.attempts_in_flight.size(); i-- > 0;) {
      if (state.attempts_in_flight[i].part == attempt.part) {
        effects.drop.push_back(
            {state.attempts_in_flight[i].number, /*close=*/false});
        Remove(state, state.attempts_in_flight[i].number, now);
      }
    }
  } else {
    if (reply.kind != ReplyKind::kFailure) {
      // Nodes of one failure domain often refuse for the same reason, such as
      // routes that they do not know yet.
      part.domain = {};
      CountRefusal(part);
    } else if (!state.IsGathered()) {
      state.failed_reply = number;
    }
    RetryPart(state, attempt.part, context, now, effects);
  }
  FinishOrSetTimer(state, context, now, effects);
  return effects;
}

RequestEffects OnAttemptFailed(RequestState& state,
                               AttemptNumber number,
                               RelayContext context,
                               SteadyTime now) {
  RequestEffects effects;
  if (Find(state, number) == nullptr) {
    return effects;
  }
  const RequestAttempt attempt = Remove(state, number, now);
  if (attempt.sent) {
    state.connection_lost = true;
  }
  if (IsUnacknowledged(state, attempt)) {
    MoveUnacknowledged(state, attempt.part, context, now, effects);
  } else {
    RetryPart(state, attempt.part, context, now, effects);
  }
  FinishOrSetTimer(state, context, now, effects);
  return effects;
}

RequestEffects OnRequestTimer(RequestState& state,
                              RelayContext context,
                              SteadyTime now) {
  RequestEffects effects;
  if (state.finished) {
    return effects;
  }
  if (now >= state.answer_deadline) {
    if (state.IsGathered() && CountAnswered(state) >= state.min_shards) {
      Finish(state, MakeGatheredOutcome(state, /*settled_early=*/true), now,
             effects);
    } else {
      Finish(state,
             FailureOutcome(state, RefusalReason::kNotInTime, context, now),
             now, effects);
    }
    return effects;
  }
  std::vector<AttemptNumber> overdue;
  for (const RequestAttempt& it : state.attempts_in_flight) {
    if (!it.overdue && now >= it.started + OverdueTime(state, it, context)) {
      overdue.push_back(it.number);
    }
  }
  for (AttemptNumber it : overdue) {
    OnOverdue(state, it, context, now, effects);
  }
  FinishOrSetTimer(state, context, now, effects);
  return effects;
}

RequestEffects OnRepliesGivenUp(RequestState& state, SteadyTime now) {
  RequestEffects effects;
  if (!state.finished) {
    Finish(state, FailedOutcome{FailureReason::kRepliesTooLarge}, now, effects);
  }
  return effects;
}

RequestEffects OnCallerDisconnected(RequestState& state, SteadyTime now) {
  RequestEffects effects;
  if (state.finished) {
    return effects;
  }
  DropAll(state, /*close=*/state.route->idempotent, now, effects);
  return effects;
}

}  // namespace gooseberryrock::relay
