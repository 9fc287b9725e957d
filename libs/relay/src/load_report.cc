// What a backend server states about its present slowness, and how far the
// statements agree with the reply times that the node observes.

#include "gooseberryrock/relay/load_report.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "gooseberryrock/relay/relay_policy.h"

namespace gooseberryrock::relay {

namespace {

// Bounds of a stated slowness. A server that states to be fast gains at most
// the lower one; servers recover from less than the usual time rarely.
constexpr double kMinStated = 0.7;
constexpr double kMaxStated = 6;
// Bounds of a sample of the speed. Persistent speeds differ by 0.8 to 1.3; a
// pause of the server must not count as its speed.
constexpr double kMinSpeedFactor = 0.6;
constexpr double kMaxSpeedFactor = 3;
// No combination of statements makes a server look faster than this.
constexpr double kMinSlowness = 0.5;
// Number of samples that determine the average of the speed.
constexpr uint32_t kMaxSamples = 30;
// Weight of a report in the moving average of the requests of others: a second
// of reports, in which the demand changes by a tenth.
constexpr double kOthersWeight = 0.1;
// Weight of a reply in the moving average of the doubt: ten replies determine
// most of it.
constexpr double kDoubtWeight = 0.1;
// Ratio to the stated time from which a reply contradicts the statement. Usual
// times vary by 0.4.
constexpr double kContradictionRatio = 1.8;
// Doubt up to which statements are believed fully, and from which they are not
// believed. Pauses of 120 ms every 3 s alone contradict 4% of the replies.
constexpr double kUsualDoubt = 0.2;
constexpr double kMaxDoubt = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double OthersIn(const LoadReport& report) {
  const double total =
      static_cast<double>(report.load.running) + report.load.waiting;
  return std::max(0.0, total - static_cast<double>(report.outstanding_then));
}

double Stated(const LoadReport& report) {
  return std::clamp(report.load.slowness.value_or(1), kMinStated, kMaxStated);
}

}  // namespace

bool IsStated(const LoadReport& report, const RelayPolicy& policy) {
  return policy.use_stated_slowness && report.load.slowness.has_value();
}

void RecordReport(LoadReport& report,
                  const ServerLoad& load,
                  uint32_t outstanding,
                  SteadyTime now) {
  report.load = load;
  report.reported_at = now;
  report.outstanding_then = outstanding;
  report.usual_others +=
      kOthersWeight * (OthersIn(report) - report.usual_others);
}

void RecordObservedTime(LoadReport& report,
                        SteadyTime sent_at,
                        Duration typical,
                        SteadyTime now) {
  // Attempts that were in flight at the same time were delayed by the same
  // cause and count once.
  if (!report.load.slowness || sent_at < report.sampled_at) {
    return;
  }
  report.sampled_at = now;
  const double queue = 1 + static_cast<double>(report.load.waiting) /
                               std::max<double>(report.load.slots, 1);
  const double sample = Seconds(now - sent_at) /
                        std::max(Seconds(typical), 1e-6) /
                        (Stated(report) * queue);
  const bool contradicts = sample > kContradictionRatio * report.speed_factor;
  report.doubt += kDoubtWeight * ((contradicts ? 1 : 0) - report.doubt);
  report.samples = std::min(report.samples + 1, kMaxSamples);
  // The initial value counts as two samples.
  report.speed_factor += (std::clamp(sample, kMinSpeedFactor, kMaxSpeedFactor) -
                          report.speed_factor) /
                         (report.samples + 2);
}

double TrustIn(const LoadReport& report) {
  return std::clamp((kMaxDoubt - report.doubt) / (kMaxDoubt - kUsualDoubt), 0.0,
                    1.0);
}

double StatedSlowness(const LoadReport& report,
                      const RelayPolicy& policy,
                      double observed,
                      SteadyTime now) {
  const double fade = std::exp2(-Seconds(now - report.reported_at) /
                                Seconds(policy.stated_slowness_half_life));
  const double stated = std::max(
      kMinSlowness, report.speed_factor * (1 + (Stated(report) - 1) * fade));
  return stated + (1 - TrustIn(report)) * std::max(0.0, observed - stated);
}

double StatedRequests(const LoadReport& report,
                      const RelayPolicy& policy,
                      uint32_t outstanding,
                      SteadyTime now) {
  const double age = Seconds(now - report.reported_at);
  const double fresh =
      std::max(0.0, 1 - age / Seconds(policy.load_report_max_age));
  const double usual = report.usual_others *
                       std::exp2(-age / Seconds(policy.slowness_half_life));
  return outstanding + usual + fresh * (OthersIn(report) - usual);
}

uint32_t StatedSlots(const LoadReport& report, uint32_t announced) {
  return report.load.slots > 0 ? std::min(report.load.slots, announced)
                               : announced;
}

}  // namespace gooseberryrock::relay
