// Statistics about a backend server.

#include "gooseberryrock/relay/server_stats.h"

#include <algorithm>
#include <cmath>

#include "gooseberryrock/relay/relay_policy.h"

namespace gooseberryrock::relay {

namespace {

// Weights of a sample in the moving averages: ten samples, a quarter of a
// second at current request rates, determine most of the average.
constexpr double kSlownessWeight = 0.2;
constexpr double kFailureWeight = 0.1;
// Weight of a second consecutive slow reply. A pause rarely affects two
// attempts that were sent one after the other, and a node of a large deployment
// sends a server less than one request per second.
constexpr double kConfirmedSlownessWeight = 0.6;
// Ratio to the typical time from which a reply is slow, and the slowness after
// a slow reply from which the next slow one confirms it.
constexpr double kSlowReplyRatio = 2.5;
constexpr double kSuspectSlowness = 1.3;
// Upper bound of a sample, so that one reply after a pause of the server does
// not divert the requests of the next second.
constexpr double kMaxSample = 6;
constexpr double kMinSample = 0.5;
constexpr uint32_t kMaxDoublings = 5;

// Weight of an attempt in the moving average of refusals, and its half-life. At
// 0.3 s, more requests that cannot be answered are sent than at 1 s; an attempt
// that is accepted shows sooner that there is room.
constexpr double kRefusalWeight = 0.3;
constexpr Duration kRefusalHalfLife = std::chrono::milliseconds(1000);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double DecayFactor(const RelayPolicy& policy, Duration age) {
  return std::exp2(-Seconds(age) / Seconds(policy.slowness_half_life));
}

// The measured slowness, decayed towards 1 with the age of the measurement.
double MeasuredSlowness(const ServerStats& stats,
                        const RelayPolicy& policy,
                        SteadyTime now) {
  return 1 + (stats.slowness - 1) * DecayFactor(policy, now - stats.sampled_at);
}

void RecordFailure(ServerStats& stats,
                   const RelayPolicy& policy,
                   SteadyTime now) {
  const uint32_t doublings =
      std::min(stats.consecutive_failures, kMaxDoublings);
  ++stats.consecutive_failures;
  stats.next_probe =
      now + std::min(policy.max_probe_delay,
                     policy.initial_probe_delay * (1U << doublings));
}

}  // namespace

bool IsSuspect(const ServerStats& stats, SteadyTime now) {
  return stats.overdue > 0 ||
         (stats.consecutive_failures > 0 && now < stats.next_probe);
}

bool IsStalled(const ServerStats& stats,
               Duration target_latency,
               SteadyTime now) {
  // After a restart of the server the time is unknown.
  return stats.overdue > 0 && stats.overdue_since != SteadyTime() &&
         now - std::max(stats.overdue_since, stats.replied_at) >=
             target_latency;
}

double RefusalShareAt(const ServerStats& stats, SteadyTime now) {
  return stats.refusal_share * std::exp2(-Seconds(now - stats.refusals_at) /
                                         Seconds(kRefusalHalfLife));
}

void RecordOverdue(ServerStats& stats, SteadyTime now) {
  if (stats.overdue++ == 0) {
    stats.overdue_since = now;
  }
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
  stats.consecutive_failures = 0;
  stats.replied_at = now;
  const double refused = result == AttemptResult::kRefused ? 1 : 0;
  stats.refusal_share = RefusalShareAt(stats, now);
  stats.refusal_share += kRefusalWeight * (refused - stats.refusal_share);
  stats.refusals_at = now;
  const double failed = result == AttemptResult::kAnswered ? 0 : 1;
  stats.failure_share += kFailureWeight * (failed - stats.failure_share);
  // Attempts that were in flight at the same time were delayed by the same
  // cause and count once.
  if (result != AttemptResult::kAnswered || sent_at < stats.sampled_at) {
    return;
  }
  const double sample =
      std::clamp(Seconds(now - sent_at) / std::max(Seconds(typical), 1e-6),
                 kMinSample, kMaxSample);
  stats.slowness = MeasuredSlowness(stats, policy, now);
  const bool confirmed =
      sample >= kSlowReplyRatio && stats.slowness >= kSuspectSlowness;
  stats.slowness += (confirmed ? kConfirmedSlownessWeight : kSlownessWeight) *
                    (sample - stats.slowness);
  stats.sampled_at = now;
}

void RecordLoad(ServerStats& stats, const ServerLoad& load, SteadyTime now) {
  stats.reported_load = load.running + load.waiting;
  stats.reported_at = now;
  RecordReport(stats.report, load, stats.outstanding, now);
}

double SlownessAt(const ServerStats& stats,
                  const RelayPolicy& policy,
                  SteadyTime now) {
  const double measured = MeasuredSlowness(stats, policy, now);
  return IsStated(stats.report, policy)
             ? StatedSlowness(stats.report, policy, measured, now)
             : measured;
}

double LoadAt(const ServerStats& stats,
              const RelayPolicy& policy,
              SteadyTime now) {
  if (IsStated(stats.report, policy)) {
    return StatedRequests(stats.report, policy, stats.outstanding, now);
  }
  const double age =
      Seconds(now - stats.reported_at) / Seconds(policy.load_report_max_age);
  const double reported = age >= 1 ? 0 : stats.reported_load * (1 - age);
  return std::max<double>(stats.outstanding, reported);
}

}  // namespace gooseberryrock::relay
