// Structured logs over log4cplus.

#include "gooseberryrock/telemetry/log_event.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>

namespace gooseberryrock::telemetry {

namespace {

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool IsPlain(unsigned char c) {
  return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& out, unsigned char c) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  if (c == '"' || c == '\\') {
    out += '\\';
    out += static_cast<char>(c);
  } else if (c == '\n') {
    out += "\\n";
  } else if (c < ' ' || c >= 0x7f) {
    out += "\\x";
    out += kHexDigits[c >> 4];
    out += kHexDigits[c & 0xf];
  } else {
    out += static_cast<char>(c);
  }
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  constexpr std::pair<std::string_view, LogLevel> kNames[] = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  for (const auto& [level_name, level] : kNames) {
    if (level_name == name) {
      return level;
    }
  }
  return std::nullopt;
}

void InitializeLog(LogLevel least) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(least));
}

std::string EscapeLogValue(std::string_view value) {
  const bool plain =
      !value.empty() && std::all_of(value.begin(), value.end(), IsPlain);
  if (plain) {
    return std::string(value);
  }
  std::string out = "\"";
  for (char c : value) {
    AppendEscaped(out, static_cast<unsigned char>(c));
  }
  out += '"';
  return out;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  auto root = log4cplus::Logger::getRoot();
  const auto log4cplus_level = ToLog4cplus(level);
  if (!root.isEnabledFor(log4cplus_level)) {
    return;
  }
  std::string line = "event=" + std::string(event);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    line += EscapeLogValue(value);
  }
  root.forcedLog(log4cplus_level, line);
}

}  // namespace gooseberryrock::telemetry
