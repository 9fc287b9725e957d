// Structured logging: one line of key=value pairs for each event.

#ifndef GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_
#define GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberryrock::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Parses "debug", "info", "warning" or "error". Empty for any other name.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

using LogField = std::pair<std::string_view, std::string>;

// Writes the log to standard output through a bounded queue and a separate
// thread, so that a blocked reader does not block the process. Must be called
// before the first event.
void InitializeLog(LogLevel min_level);

// Waits until all queued lines are written, or a short timeout passes.
void FlushLog();

// Writes `event=<event>` and the fields as one line. Values are quoted and
// escaped where needed, so that a value cannot forge a field or an event. Each
// event is limited to a number of lines a second; the next line written reports
// how many were dropped in the field `suppressed`.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

// Returns `value` as it is written to the log.
std::string EscapeLogValue(std::string_view value);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_
