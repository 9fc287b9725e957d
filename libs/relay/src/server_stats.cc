// What a node has measured of one backend server.

#include "gooseberryrock/relay/server_stats.h"

#include <algorithm>
#include <cmath>

#include "gooseberryrock/relay/relay_policy.h"

namespace gooseberryrock::relay {

namespace {

// Weight of one sample in the moving averages: ten samples make the most of it,
// a quarter of a second at today's rates.
constexpr double kSlownessWeight = 0.2;
constexpr double kFailureWeight = 0.1;
// A second slow reply in a row counts more: a pause seldom meets two attempts
// that were sent one after the other, and a node of a large fleet sends a
// server less than one a second.
constexpr double kConfirmedWeight = 0.6;
// Times the usual time from which a reply is slow, and what one slow reply
// leaves behind for the next one to confirm.
constexpr double kSlowReply = 2.5;
constexpr double kSuspectedSlowness = 1.3;
// A single sample counts at most this much, so that one reply after a pause of
// the server does not divert the work of the next second.
constexpr double kMostSlowness = 6;
constexpr double kLeastSlowness = 0.5;
constexpr uint32_t kMostDoublings = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Remaining(const RelayPolicy& policy, Duration age) {
  return std::exp2(-Seconds(age) / Seconds(policy.memory_half_life));
}

void RecordFailure(ServerStats& stats,
                   const RelayPolicy& policy,
                   SteadyTime now) {
  const uint32_t doublings = std::min(stats.failures_in_row, kMostDoublings);
  ++stats.failures_in_row;
  stats.next_probe =
      now + std::min(policy.longest_probe_wait,
                     policy.first_probe_wait * (1U << doublings));
}

}  // namespace

bool IsSuspect(const ServerStats& stats, SteadyTime now) {
  return stats.overdue > 0 ||
         (stats.failures_in_row > 0 && now < stats.next_probe);
}

void RecordResult(ServerStats& stats,
                  const RelayPolicy& policy,
                  AttemptResult result,
                  SteadyTime sent_at,
                  Duration typical,
                  SteadyTime now) {
  if (result == AttemptResult::kLost || result == AttemptResult::kSilent) {
    RecordFailure(stats, policy, now);
    return;
  }
  stats.failures_in_row = 0;
  const double failed = result == AttemptResult::kAnswered ? 0 : 1;
  stats.failure_share += kFailureWeight * (failed - stats.failure_share);
  // Attempts that waited at the same time waited for the same cause.
  if (result != AttemptResult::kAnswered || sent_at < stats.counted_at) {
    return;
  }
  const double sample =
      std::clamp(Seconds(now - sent_at) / std::max(Seconds(typical), 1e-6),
                 kLeastSlowness, kMostSlowness);
  stats.slowness = SlownessAt(stats, policy, now);
  const bool confirmed =
      sample >= kSlowReply && stats.slowness >= kSuspectedSlowness;
  stats.slowness += (confirmed ? kConfirmedWeight : kSlownessWeight) *
                    (sample - stats.slowness);
  stats.counted_at = now;
}

void RecordLoad(ServerStats& stats, uint32_t load, SteadyTime now) {
  stats.reported_load = load;
  stats.reported_at = now;
}

double SlownessAt(const ServerStats& stats,
                  const RelayPolicy& policy,
                  SteadyTime now) {
  return 1 + (stats.slowness - 1) * Remaining(policy, now - stats.counted_at);
}

double LoadAt(const ServerStats& stats,
              const RelayPolicy& policy,
              SteadyTime now) {
  const double age =
      Seconds(now - stats.reported_at) / Seconds(policy.load_report_life);
  const double reported = age >= 1 ? 0 : stats.reported_load * (1 - age);
  return std::max<double>(stats.outstanding, reported);
}

}  // namespace gooseberryrock::relay
