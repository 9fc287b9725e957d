// Structured logs: one line of key=value pairs for each event.

#ifndef GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_
#define GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberryrock::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The level named "debug", "info", "warning" or "error", or nothing.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

using LogField = std::pair<std::string_view, std::string>;

// Sends the log to standard output, through a bounded queue and a thread of its
// own, so that a reader that stops reading holds up nothing. Call before the
// first event.
void InitializeLog(LogLevel least);

// Returns when the lines so far are written, or after a short time.
void FlushLog();

// Writes `event=<event>` and the fields as one line. Values are quoted and
// escaped where needed, so that a value cannot forge a field or an event. Each
// event has a limit of lines a second; a line after others were left out says
// how many in the field `suppressed`.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

// `value` as it appears in the log.
std::string EscapeLogValue(std::string_view value);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_
