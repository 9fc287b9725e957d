// Requests at a node that stops.

#include "gooseberryrock/relay/stop_time.h"

#include <algorithm>

#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::relay {

namespace {

// Time allowed for a request that may not be repeated, in target latencies: its
// caller cannot try another node after an unclear end.
constexpr int kTargetsForOnce = 2;

}  // namespace

bool FitsBefore(SteadyTime answer_by,
                const routes::Route& route,
                SteadyTime now) {
  return now +
             route.target_latency * (route.idempotent ? 1 : kTargetsForOnce) <=
         answer_by;
}

void AnswerBy(RequestState& state, SteadyTime answer_by) {
  state.answer_deadline = std::min(state.answer_deadline, answer_by);
}

}  // namespace gooseberryrock::relay
