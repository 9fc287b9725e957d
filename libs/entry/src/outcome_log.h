// Logs and counts the outcome of requests.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_OUTCOME_LOG_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_OUTCOME_LOG_H_

#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/outcome.h"

namespace gooseberryrock::relay {
struct RequestState;
}  // namespace gooseberryrock::relay

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::entry {

// Formats a duration in whole milliseconds for a log field.
std::string Milliseconds(Duration duration);

// Logs the request if it was refused, failed or answered partially.
void LogOutcome(const std::string& request_id,
                const relay::RequestState& state,
                const relay::Outcome& outcome);

// Counts the request by route, rank and `host`, the host in the request.
void CountOutcome(telemetry::Metrics& metrics,
                  const std::string& host,
                  const relay::RequestState& state,
                  const relay::Outcome& outcome);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_OUTCOME_LOG_H_
