// Reads the lines that LogEvent() writes.

#ifndef GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_
#define GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::telemetry {

struct LogLine {
  // Of the field `time`.
  WallTime time;
  // All fields, `time` and `event` included, without quotes and escapes.
  std::map<std::string, std::string, std::less<>> fields;

  // Empty when there is no such field.
  std::string_view Field(std::string_view key) const;
};

// Nothing when `text` is not such a line. Text before the field `time` is
// passed over: a log collector may have put a name there.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_LOG_LINE_H_
