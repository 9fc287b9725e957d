// Transition from one reservation to the next.

#include "gooseberryrock/directory/reservation_history.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/directory/connection_share.h"

namespace gooseberryrock::directory {

void PutReservation(ReservationHistory& history, ReservationStep step) {
  if (history.steps.empty() || step.version > history.steps.back().version) {
    history.steps.push_back(std::move(step));
  }
}

void OnInForceEverywhere(ReservationHistory& history, uint64_t version) {
  auto& steps = history.steps;
  if (steps.empty() || steps.front().version > version) {
    return;
  }
  history.settled = true;
  auto it = std::find_if(
      steps.begin(), steps.end(),
      [&](const ReservationStep& step) { return step.version > version; });
  steps.erase(steps.begin(), it - 1);
}

uint32_t CurrentConnectionShare(const ReservationHistory& history,
                                uint32_t limit,
                                const FailureDomain& server_domain,
                                const ReservedPlace& place) {
  if (!history.settled) {
    return 0;
  }
  uint32_t share = limit;
  for (const ReservationStep& step : history.steps) {
    share = std::min(
        share, ConnectionShare(limit, step.reservation, server_domain, place));
  }
  return share;
}

bool MayChangeReservation(uint64_t reservation_version,
                          uint64_t in_force_everywhere) {
  return reservation_version <= in_force_everywhere;
}

}  // namespace gooseberryrock::directory
