// Text exposition format of metrics.

#include "exposition.h"

#include <array>
#include <charconv>
#include <cmath>

namespace gooseberryrock::telemetry {

void AppendFamily(std::string& page,
                  std::string_view name,
                  std::string_view help,
                  std::string_view type) {
  page.append("# HELP ").append(name).append(" ").append(help).append("\n");
  page.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& page,
                  std::string_view name,
                  const Labels& labels,
                  double value) {
  page += name;
  char separator = '{';
  for (const auto& [key, label] : labels) {
    page += separator;
    page += key;
    page += "=\"";
    page += EscapeLabelValue(label);
    page += '"';
    separator = ',';
  }
  if (!labels.empty()) {
    page += '}';
  }
  page += ' ';
  page += FormatNumber(value);
  page += '\n';
}

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  // Large enough for the shortest text of any double.
  std::array<char, 32> buf;
  const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return {buf.data(), result.ptr};
}

std::string EscapeLabelValue(std::string_view value) {
  std::string out;
  for (char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c;
  }
  return out;
}

}  // namespace gooseberryrock::telemetry
