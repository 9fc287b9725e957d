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
constexpr double kOvertakenWeight = 0.2;
// The window shrinks after a reply that took longer than this many times the
// typical time, which 1 in 50 replies of a healthy server does.
constexpr double kSlowReply = 3;
constexpr double kWindowShrink = 0.7;
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

void RecordAnswer(ServerView& view, Duration elapsed, Duration typical) {
  const bool slow =
      typical > Duration::zero() && elapsed > kSlowReply * typical;
  view.window = slow ? std::max(view.window * kWindowShrink, 1.0)
                     : std::min(view.window + 1 / view.window, kMaxWindow);
  view.overtaken_rate -= kOvertakenWeight * view.overtaken_rate;
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
                      Duration typical,
                      SteadyTime now) {
  if (view.outstanding > 0) {
    --view.outstanding;
  }
  switch (end) {
    case AttemptEnd::kAnswered:
      RecordAnswer(view, elapsed, typical);
      break;
    case AttemptEnd::kRefused:
    case AttemptEnd::kFailed:
      RecordFailure(view, now);
      break;
    case AttemptEnd::kCancelled:
    case AttemptEnd::kConnectionSilent:
      if (elapsed > view.service_time) {
        RecordSample(view, elapsed);
        view.overtaken_rate += kOvertakenWeight * (1 - view.overtaken_rate);
      }
      break;
  }
  view.last_heard = now;
}

void RecordRestart(ServerView& view) {
  view.window = 1;
  view.failure_rate = 0;
  view.failures_in_a_row = 0;
  view.avoid_until = {};
}

uint32_t SendWindow(const ServerView& view) {
  return static_cast<uint32_t>(view.window);
}

}  // namespace gooseberryrock::query
