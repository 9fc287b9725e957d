// State machine of a relayed or gathered request.

#include "gooseberryrock/relay/request_machine.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gooseberryrock/relay/choose_server.h"
#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/server_reply.h"
#include "refusal.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// Refused attempts after which a part of the request is not retried: the usual
// number of servers of a service.
constexpr uint32_t kMaxRefusals = 3;
// Minimum retry delay under overload: the time to work off a few requests.
constexpr Duration kMinOverloadDelay = std::chrono::milliseconds(50);

enum class ServerFilter { kAnyServer, kHealthyServers };

RequestAttempt* Find(RequestState& state, AttemptNumber number) {
  auto it = std::find_if(
      state.attempts.begin(), state.attempts.end(),
      [number](const RequestAttempt& n) { return n.number == number; });
  return it == state.attempts.end() ? nullptr : &*it;
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
      state.attempts.begin(), state.attempts.end(),
      [number](const RequestAttempt& n) { return n.number == number; });
  RequestAttempt attempt = std::move(*it);
  state.attempts.erase(it);
  --state.parts[attempt.part].open_attempts;
  TakeBackUnsent(state, attempt, now);
  return attempt;
}

Duration OverdueTime(const RequestState& state,
                     const RequestPart& part,
                     const RelayContext& context) {
  return OverdueAfter(*part.pool, context.policy, state.route->rank,
                      state.route->target_latency);
}

Selection SelectionOf(const RequestState& state) {
  Selection selection;
  selection.rank = state.route->rank;
  selection.target_latency = state.route->target_latency;
  return selection;
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
  state.attempts.push_back(std::move(attempt));
  return true;
}

void FailPart(RequestState& state, RequestPart& part) {
  if (!part.failed && !part.answered) {
    part.failed = true;
    ++state.parts_failed;
  }
}

// Gives up all attempts of a request that ends.
void DropAll(RequestState& state,
             bool close,
             SteadyTime now,
             RequestEffects& effects) {
  state.finished = true;
  for (const RequestAttempt& it : state.attempts) {
    TakeBackUnsent(state, it, now);
    effects.drop.push_back({it.number, close});
  }
  state.attempts.clear();
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

Outcome MakeGatheredOutcome(const RequestState& state, bool settled_early) {
  std::vector<std::string_view> bodies;
  GatheredOutcome outcome;
  for (const RequestPart& part : state.parts) {
    if (part.answered) {
      bodies.push_back(part.body);
      outcome.digests.push_back(part.digest);
    }
  }
  outcome.body = TopRecords(bodies, state.top_records);
  outcome.missing_shards =
      static_cast<uint32_t>(state.parts.size() - outcome.digests.size());
  outcome.settled_early = settled_early;
  return outcome;
}

// Finishes a gathered request that lacks too many shards. Returns whether it
// did.
bool FinishIfTooFewShards(RequestState& state,
                          RelayContext context,
                          SteadyTime now,
                          RequestEffects& effects) {
  if (state.parts.size() - state.parts_failed >= state.min_parts) {
    return false;
  }
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
  const bool enough = state.parts_answered >= state.min_parts;
  if (state.IsGathered()) {
    if (enough && (all_ended || now >= state.partial_answer_at)) {
      Finish(state, MakeGatheredOutcome(state, !all_ended), now, effects);
      return;
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
  for (const RequestAttempt& it : state.attempts) {
    if (!it.overdue) {
      next = std::min(
          next, it.started + OverdueTime(state, state.parts[it.part], context));
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
  const bool allowed = repeatable && part.sends < state.route->attempts &&
                       part.refusals < kMaxRefusals;
  // A retry is free if no server has received an attempt yet.
  const bool is_free = part.sends == 0 && part.refusals == 0;
  if (allowed && (is_free || query::SpendBudget(part.pool->budget)) &&
      AddAttempt(state, index, AttemptCause::kRetry, ServerFilter::kAnyServer,
                 context, now, effects)) {
    return;
  }
  FailPart(state, part);
}

// Handles an overdue attempt: hedges it if that is allowed, or moves it to
// another server if it is still waiting for a connection.
void OnOverdue(RequestState& state,
               AttemptNumber number,
               RelayContext context,
               SteadyTime now,
               RequestEffects& effects) {
  RequestAttempt& attempt = *Find(state, number);
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
  if (state.route->idempotent && part.sends < state.route->attempts &&
      part.open_attempts == 1 && part.pool->budget.tokens >= 1 &&
      AddAttempt(state, index, AttemptCause::kHedge,
                 ServerFilter::kHealthyServers, context, now, effects)) {
    query::SpendBudget(part.pool->budget);
  }
}

void SkipPart(RequestState& state, RequestPart& part) {
  part.skipped = true;
  FailPart(state, part);
}

// Leaves out the shards that do not respond, and the slowest of those that are
// expected to take too long, as far as the minimum coverage allows.
void SkipShards(RequestState& state, RelayContext context, SteadyTime now) {
  const Duration max_expected =
      Scale(state.route->target_latency,
            context.policy.max_expected_share[RankIndex(state.route->rank)]);
  const Selection selection = SelectionOf(state);
  std::vector<std::pair<Duration, RequestPart*>> busy;
  for (RequestPart& it : state.parts) {
    if (IsUnavailable(*it.pool, state.route->rank, now)) {
      SkipPart(state, it);
      continue;
    }
    const Duration expected =
        MinExpectedTime(*it.pool, context.policy, selection, now);
    if (expected > max_expected && expected < Duration::max()) {
      busy.emplace_back(expected, &it);
    }
  }
  std::sort(busy.rbegin(), busy.rend());
  for (const auto& [expected, part] : busy) {
    if (state.parts.size() - state.parts_failed <= state.min_parts) {
      return;
    }
    SkipPart(state, *part);
  }
}

// Returns the retry delay if the request cannot be answered in time.
std::optional<Duration> OverloadRetryDelay(const RequestState& state,
                                           RelayContext context,
                                           SteadyTime now) {
  const Selection selection = SelectionOf(state);
  Duration longest = Duration::zero();
  for (const RequestPart& it : state.parts) {
    if (!it.skipped) {
      const Duration expected =
          MinExpectedTime(*it.pool, context.policy, selection, now);
      longest = std::max(
          longest, expected < Duration::max() ? expected : Duration::zero());
    }
  }
  // A request that was parked until the node knew its servers may be past its
  // target latency; a late answer is still useful then.
  const Duration left =
      (now < state.partial_answer_at ? state.partial_answer_at
                                     : state.answer_deadline) -
      now;
  if (longest <= left) {
    return std::nullopt;
  }
  // Randomized so that callers refused at the same time do not retry at the
  // same time.
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  return Scale(std::max(longest - left, kMinOverloadDelay),
               spread(context.random));
}

}  // namespace

RequestState MakeRequest(const routes::Route& route,
                         const std::vector<ServicePool*>& pools,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline) {
  RequestState state;
  state.route = &route;
  state.received = received;
  state.partial_answer_at =
      received + route.target_latency - policy.answer_margin;
  state.answer_deadline = std::min(caller_deadline - policy.answer_margin,
                                   received + route.timeout);
  for (ServicePool* it : pools) {
    state.parts.emplace_back().pool = it;
  }
  if (const auto* sharded = std::get_if<routes::ShardedTarget>(&route.target)) {
    state.top_records = sharded->top_records;
    state.min_parts = MinShards(pools.size(), sharded->minimum_coverage);
  }
  return state;
}

RequestEffects StartRequest(RequestState& state,
                            RelayContext context,
                            SteadyTime now) {
  RequestEffects effects;
  if (now >= state.answer_deadline) {
    Finish(state, RefusedOutcome{RefusalReason::kNotInTime, kDefaultRetryAfter},
           now, effects);
    return effects;
  }
  if (state.IsGathered()) {
    SkipShards(state, context, now);
    if (FinishIfTooFewShards(state, context, now, effects)) {
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
    part.digest = std::move(reply.digest);
    part.body = std::move(reply.body);
    if (!state.IsGathered()) {
      Finish(state, RelayedOutcome{number}, now, effects);
      return effects;
    }
    for (size_t i = state.attempts.size(); i-- > 0;) {
      if (state.attempts[i].part == attempt.part) {
        effects.drop.push_back({state.attempts[i].number, /*close=*/false});
        Remove(state, state.attempts[i].number, now);
      }
    }
  } else {
    if (reply.kind != ReplyKind::kFailure) {
      --part.sends;
      ++part.refusals;
      part.may_have_run = part.sends > 0;
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
  RetryPart(state, attempt.part, context, now, effects);
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
    if (state.IsGathered() && state.parts_answered >= state.min_parts) {
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
  for (const RequestAttempt& it : state.attempts) {
    if (!it.overdue &&
        now >= it.started + OverdueTime(state, state.parts[it.part], context)) {
      overdue.push_back(it.number);
    }
  }
  for (AttemptNumber it : overdue) {
    OnOverdue(state, it, context, now, effects);
  }
  FinishOrSetTimer(state, context, now, effects);
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
