// Parses the lines written by LogEvent().

#ifndef GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_
#define GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::telemetry {

struct LogLine {
  // The value of the field `time`.
  WallTime time;
  // All fields, including `time` and `event`, unquoted and unescaped.
  std::map<std::string, std::string, std::less<>> fields;

  // Empty if there is no such field.
  std::string_view Field(std::string_view key) const;
};

// Returns nothing if `text` is not such a line. Text before the field `time` is
// skipped, because a log collector may add a prefix.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_
