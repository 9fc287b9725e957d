// How a request ends that cannot be answered.

#include "refusal.h"

#include <algorithm>
#include <random>

#include "gooseberryrock/relay/choose_server.h"
#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/relay/service_pool.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

bool MayHaveRun(const RequestState& state) {
  return std::any_of(state.parts.begin(), state.parts.end(),
                     [](const RequestPart& it) { return it.may_have_run; });
}

// Returns the time until every unavailable part has a server that may get a
// request, but at least kDefaultRetryAfter. Parts without usable servers are
// left out.
Duration RetryDelay(const RequestState& state, SteadyTime now) {
  Duration wait = Duration::zero();
  const Rank rank = state.rank;
  for (const RequestPart& part : state.parts) {
    if (!IsUnavailable(*part.pool, rank, now)) {
      continue;
    }
    SteadyTime soonest = SteadyTime::max();
    for (const PoolServer& it : part.pool->servers) {
      soonest = std::min(soonest, AvailableAt(it, rank, now));
    }
    if (soonest < SteadyTime::max()) {
      wait = std::max(wait, soonest - now);
    }
  }
  return std::max(wait, kDefaultRetryAfter);
}

// Returns the reason why a part cannot be served if the servers themselves
// stated it, otherwise `reason`.
RefusalReason RefusalReasonOf(const RequestState& state,
                              RefusalReason reason,
                              SteadyTime now) {
  const Rank rank = state.rank;
  for (const RequestPart& it : state.parts) {
    if (!IsUnavailable(*it.pool, rank, now)) {
      continue;
    }
    if (HasRestingServer(*it.pool)) {
      return RefusalReason::kServersResting;
    }
    if (HasLimitedServer(*it.pool, rank, now)) {
      return RefusalReason::kServersLimited;
    }
  }
  return reason;
}

}  // namespace

RefusedOutcome Refuse(const RequestState& state,
                      RefusalReason reason,
                      RelayContext context,
                      SteadyTime now) {
  RefusedOutcome outcome = {RefusalReasonOf(state, reason, now),
                            RetryDelay(state, now)};
  if (outcome.reason == RefusalReason::kServersResting ||
      outcome.reason == RefusalReason::kServersLimited) {
    std::uniform_real_distribution<double> spread(1.0, 1.5);
    outcome.retry_after = Scale(outcome.retry_after, spread(context.random));
  }
  return outcome;
}

Outcome FailureOutcome(const RequestState& state,
                       RefusalReason reason,
                       RelayContext context,
                       SteadyTime now) {
  if (state.failed_reply != 0) {
    return RelayedOutcome{state.failed_reply};
  }
  if (!MayHaveRun(state)) {
    return Refuse(state, reason, context, now);
  }
  return FailedOutcome{state.IsGathered()      ? FailureReason::kTooFewShards
                       : state.connection_lost ? FailureReason::kConnectionLost
                                               : FailureReason::kTimeout};
}

}  // namespace gooseberryrock::relay
