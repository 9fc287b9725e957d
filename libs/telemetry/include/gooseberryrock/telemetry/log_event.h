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

// Sends the log to standard error. Call once, before the first event.
void InitializeLog(LogLevel least);

// Writes `event=<event>` and the fields as one line. Values are quoted and
// escaped where needed, so that a value cannot forge a field or an event.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

// `value` as it appears in the log.
std::string EscapeLogValue(std::string_view value);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_LOG_EVENT_H_
