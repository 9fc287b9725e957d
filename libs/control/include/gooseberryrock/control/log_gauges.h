// Metrics of the replicated log.

#ifndef GOOSEBERRYROCK_CONTROL_LOG_GAUGES_H_
#define GOOSEBERRYROCK_CONTROL_LOG_GAUGES_H_

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {

struct LogStatus;
struct VoterHealth;

// Sets the gauges from `status`, the status on the VM `self`.
void SetLogGauges(telemetry::Metrics& metrics,
                  const LogStatus& status,
                  const NodeId& self);

void SetVoterGauges(telemetry::Metrics& metrics, const VoterHealth& health);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_LOG_GAUGES_H_
