// Updates a node's statistics of a backend server from the results of attempts.

#include "gooseberryrock/query/server_stats.h"

#include <algorithm>

#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::query {

namespace {

// Slower samples have more weight than faster ones: routing to a slow server
// delays a whole query, whereas not using a fast one costs little.
constexpr double kSlowerWeight = 0.3;
constexpr double kFasterWeight = 0.1;
constexpr double kFailureWeight = 0.2;
// Backoff after a failure, doubled with each consecutive failure. It starts
// short because load shedding often lasts only for one burst.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr uint32_t kMaxDoublings = 5;
constexpr double kHedgeLossWeight = 0.2;
// The window shrinks after a reply that took longer than this multiple of the
// typical time. 1 in 50 replies of a healthy server does.
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
  view.hedge_loss_rate -= kHedgeLossWeight * view.hedge_loss_rate;
  RecordSample(view, elapsed);
  view.failure_rate -= kFailureWeight * view.failure_rate;
  view.consecutive_failures = 0;
  view.backoff_until = {};
}

void RecordFailure(ServerView& view, SteadyTime now) {
  view.failure_rate += kFailureWeight * (1 - view.failure_rate);
  const uint32_t doublings = std::min(view.consecutive_failures, kMaxDoublings);
  ++view.consecutive_failures;
  view.backoff_until =
      now + std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
}

}  // namespace

void RecordAttemptStart(ServerView& view, SteadyTime now) {
  if (view.outstanding == 0) {
    view.last_activity = now;
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
        view.hedge_loss_rate += kHedgeLossWeight * (1 - view.hedge_loss_rate);
      }
      break;
  }
  view.last_activity = now;
}

void RecordRestart(ServerView& view) {
  view.window = 1;
  view.failure_rate = 0;
  view.consecutive_failures = 0;
  view.backoff_until = {};
}

uint32_t SendWindow(const ServerView& view) {
  return static_cast<uint32_t>(view.window);
}

}  // namespace gooseberryrock::query
