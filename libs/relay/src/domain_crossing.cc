// Decides which part of the work of a service leaves the failure domain.

#include "gooseberryrock/relay/domain_crossing.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gooseberryrock::relay {

namespace {

// Part of the cost of crossing by which the own servers have to be dearer for
// all requests to leave. With the whole cost, requests wait longer; with a
// fifth, more of them cross than the servers of the domain lack.
constexpr double kFullShareDifference = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void UpdateCrossing(DomainCrossing& state,
                    Duration own,
                    Duration other,
                    Duration crossing,
                    Duration damping,
                    SteadyTime now) {
  // In proportion to the difference: a decision between all and nothing would
  // move the queue to the other domain and back.
  const double full = std::max(kFullShareDifference * Seconds(crossing), 1e-6);
  const double lack = std::clamp(Seconds(own - other) / full, 0.0, 1.0);
  const double age =
      Seconds(now - state.updated_at) / std::max(Seconds(damping), 1e-6);
  state.share += (lack - state.share) * (1 - std::exp(-std::max(age, 0.0)));
  state.updated_at = now;
}

}  // namespace gooseberryrock::relay
