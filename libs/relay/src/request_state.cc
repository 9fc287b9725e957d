// Creates the state of a request.

#include "gooseberryrock/relay/request_state.h"

#include <algorithm>
#include <variant>

#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"

namespace gooseberryrock::relay {

RequestState MakeRequest(const routes::Route& route,
                         const std::vector<ServicePool*>& pools,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline) {
  RequestState state;
  state.route = &route;
  state.rank = route.rank;
  state.received = received;
  state.attempts = route.attempts;
  state.partial_answer_at =
      received + route.target_latency - policy.answer_margin;
  state.answer_deadline = std::min(caller_deadline - policy.answer_margin,
                                   received + route.timeout);
  for (ServicePool* it : pools) {
    state.parts.emplace_back().pool = it;
  }
  if (const auto* sharded = std::get_if<routes::ShardedTarget>(&route.target)) {
    state.top_records = sharded->top_records;
    state.min_shards = MinShards(pools.size(), sharded->minimum_coverage);
    state.max_skipped = pools.size() - std::min(pools.size(), state.min_shards);
  }
  return state;
}

const RequestPart& PartOf(const RequestState& state, AttemptNumber attempt) {
  const auto it = std::find_if(
      state.attempts_in_flight.begin(), state.attempts_in_flight.end(),
      [attempt](const RequestAttempt& n) { return n.number == attempt; });
  return state.parts[it->part];
}

}  // namespace gooseberryrock::relay
