// Metrics of the replicated log.

#include "gooseberryrock/control/log_gauges.h"

#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/control/voter_health.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::control {

void SetLogGauges(telemetry::Metrics& metrics,
                  const LogStatus& status,
                  const NodeId& self) {
  using telemetry::Gauge;
  SetGauge(metrics, Gauge::kIsLeader, status.leader == self ? 1 : 0);
  SetGauge(metrics, Gauge::kHasLeader, status.leader.empty() ? 0 : 1);
  SetGauge(metrics, Gauge::kTerm, static_cast<double>(status.term));
  SetGauge(metrics, Gauge::kCommitIndex,
           static_cast<double>(status.commit_index));
  const bool refused = status.storage_failed || status.suspended;
  SetGauge(metrics, Gauge::kStorageRefused, refused ? 1 : 0);
}

void SetVoterGauges(telemetry::Metrics& metrics, const VoterHealth& health) {
  using telemetry::Gauge;
  SetGauge(metrics, Gauge::kVoters, static_cast<double>(health.voters.size()));
  SetGauge(metrics, Gauge::kVotersPresent,
           static_cast<double>(CountPresent(health)));
  SetGauge(metrics, Gauge::kToleratedLosses, ToleratedLosses(health));
}

}  // namespace gooseberryrock::control
