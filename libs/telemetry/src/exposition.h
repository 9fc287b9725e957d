// Text exposition format of metrics.

#ifndef GOOSEBERRYROCK_TELEMETRY_SRC_EXPOSITION_H_
#define GOOSEBERRYROCK_TELEMETRY_SRC_EXPOSITION_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryrock::telemetry {

using Labels = std::vector<std::pair<std::string_view, std::string>>;

// Appends the `# HELP` and `# TYPE` lines. `type` is "counter", "gauge",
// "histogram" or "summary".
void AppendFamily(std::string& page,
                  std::string_view name,
                  std::string_view help,
                  std::string_view type);

void AppendSample(std::string& page,
                  std::string_view name,
                  const Labels& labels,
                  double value);

// Returns the shortest text that parses back as `value`, or `+Inf`, `-Inf` or
// `NaN`.
std::string FormatNumber(double value);

// Returns `value` with backslashes, quotes and newlines escaped.
std::string EscapeLabelValue(std::string_view value);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_SRC_EXPOSITION_H_
