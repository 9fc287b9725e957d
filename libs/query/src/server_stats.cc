// How the results of attempts change what a node knows of a server.

#include "gooseberryrock/query/server_stats.h"

#include <algorithm>

#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::query {

namespace {

// A slower sample counts more than a faster one: sending to a slow server costs
// a straggler, avoiding a fast one costs little.
constexpr double kSlowerWeight = 0.3;
constexpr double kFasterWeight = 0.1;
constexpr double kFailureWeight = 0.2;
// A shedding server is left alone for this long, doubled with each further
// failure. Short at first, because shedding often lasts for one burst only.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(50);
constexpr Duration kLongestAvoidance = std::chrono::seconds(1);
constexpr uint32_t kMostDoublings = 5;
// A reply is in time for the ramp when it took no longer than this many times
// the estimate.
constexpr double kRampTolerance = 1.5;
constexpr double kMaxWindow = 64;

void RecordSample(ServerView& view, Duration elapsed) {
  if (view.service_time == Duration::zero()) {
    view.service_time = elapsed;
    return;
  }
  const Duration change = elapsed - view.service_time;
  const double weight =
      change > Duration::zero() ? kSlowerWeight : kFasterWeight;
  view.service_time += std::chrono::duration_cast<Duration>(weight * change);
}

void RecordAnswer(ServerView& view, Duration elapsed) {
  const bool in_time = view.service_time == Duration::zero() ||
                       elapsed <= kRampTolerance * view.service_time;
  view.window = in_time ? std::min(view.window + 1 / view.window, kMaxWindow)
                        : std::max(view.window * 0.9, 1.0);
  RecordSample(view, elapsed);
  view.failure_rate -= kFailureWeight * view.failure_rate;
  view.failures_in_a_row = 0;
  view.avoid_until = {};
}

void RecordFailure(ServerView& view, SteadyTime now) {
  view.failure_rate += kFailureWeight * (1 - view.failure_rate);
  const uint32_t doublings = std::min(view.failures_in_a_row, kMostDoublings);
  ++view.failures_in_a_row;
  view.avoid_until =
      now + std::min(kFirstAvoidance * (1U << doublings), kLongestAvoidance);
}

}  // namespace

void RecordAttemptStart(ServerView& view, SteadyTime now) {
  if (view.outstanding == 0) {
    view.last_heard = now;
  }
  ++view.outstanding;
}

void RecordAttemptEnd(ServerView& view,
                      AttemptEnd end,
                      Duration elapsed,
                      SteadyTime now) {
  if (view.outstanding > 0) {
    --view.outstanding;
  }
  switch (end) {
    case AttemptEnd::kAnswered:
      RecordAnswer(view, elapsed);
      break;
    case AttemptEnd::kRefused:
    case AttemptEnd::kFailed:
      RecordFailure(view, now);
      break;
    case AttemptEnd::kCancelled:
      if (elapsed > view.service_time) {
        RecordSample(view, elapsed);
      }
      break;
    case AttemptEnd::kConnectionSilent:
      break;
  }
  view.last_heard = now;
}

}  // namespace gooseberryrock::query
