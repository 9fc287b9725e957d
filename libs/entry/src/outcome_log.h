// What the log and the metrics say of a request that has ended.

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

// Whole milliseconds, for the fields of a log line.
std::string Milliseconds(Duration duration);

// Writes a line when the request was refused, failed or answered in part.
void LogOutcome(const std::string& request_id,
                const relay::RequestState& state,
                const relay::Outcome& outcome);

// Counts the request under its route, its rank and `host`, the one that the
// caller named.
void CountOutcome(telemetry::Metrics& metrics,
                  const std::string& host,
                  const relay::RequestState& state,
                  const relay::Outcome& outcome);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_OUTCOME_LOG_H_
