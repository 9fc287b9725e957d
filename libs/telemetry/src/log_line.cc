// Parses the lines written by LogEvent().

#include "gooseberryrock/telemetry/log_line.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace gooseberryrock::telemetry {

namespace {

// Parses a time such as "2026-12-04T14:03:48.552Z".
std::optional<WallTime> ParseTime(const std::string& text) {
  std::tm utc{};
  int ms = 0;
  char zone = 0;
  const int n = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d%c",
                            &utc.tm_year, &utc.tm_mon, &utc.tm_mday,
                            &utc.tm_hour, &utc.tm_min, &utc.tm_sec, &ms, &zone);
  if (n != 8 || zone != 'Z') {
    return std::nullopt;
  }
  utc.tm_year -= 1900;
  utc.tm_mon -= 1;
  return std::chrono::system_clock::from_time_t(timegm(&utc)) +
         std::chrono::milliseconds(ms);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

// Consumes one escaped character after the backslash from the start of `text`.
std::optional<char> ConsumeEscapedChar(std::string_view& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const char c = text.front();
  text.remove_prefix(1);
  if (c == 'n') {
    return '\n';
  }
  if (c != 'x') {
    return c;
  }
  if (text.size() < 2 || HexDigit(text[0]) < 0 || HexDigit(text[1]) < 0) {
    return std::nullopt;
  }
  const int value = HexDigit(text[0]) * 16 + HexDigit(text[1]);
  text.remove_prefix(2);
  return static_cast<char>(value);
}

// Consumes the value at the start of `text`.
std::optional<std::string> ConsumeValue(std::string_view& text) {
  std::string value;
  if (text.empty() || text.front() != '"') {
    value = text.substr(0, text.find(' '));
    text.remove_prefix(value.size());
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() != '\\') {
      value += text.front();
      text.remove_prefix(1);
      continue;
    }
    text.remove_prefix(1);
    const auto c = ConsumeEscapedChar(text);
    if (!c) {
      return std::nullopt;
    }
    value += *c;
  }
  if (text.empty()) {
    return std::nullopt;
  }
  text.remove_prefix(1);
  return value;
}

}  // namespace

std::string_view LogLine::Field(std::string_view key) const {
  auto it = fields.find(key);
  return it == fields.end() ? std::string_view() : it->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  constexpr std::string_view kFirstField = "time=";
  const size_t start = text.find(kFirstField);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(start);
  LogLine line;
  while (!text.empty()) {
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    auto value = ConsumeValue(text);
    if (!value || (!text.empty() && text.front() != ' ')) {
      return std::nullopt;
    }
    line.fields.emplace(std::move(key), std::move(*value));
    const size_t next = text.find_first_not_of(' ');
    text.remove_prefix(next == std::string_view::npos ? text.size() : next);
  }
  const auto time = ParseTime(std::string(line.Field("time")));
  if (!time || line.Field("event").empty()) {
    return std::nullopt;
  }
  line.time = *time;
  return line;
}

}  // namespace gooseberryrock::telemetry
