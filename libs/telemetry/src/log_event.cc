// Structured logging with log4cplus.

#include "gooseberryrock/telemetry/log_event.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

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

// Burst and sustained rate of lines of one event. Some lines of each event are
// kept for operators, and a flood of one event must not use up the processor
// time of the node.
constexpr double kBurstLines = 50;
constexpr double kLinesPerSecond = 20;
// Maximum number of lines queued for the writer thread. Further lines are
// dropped and counted.
constexpr size_t kMaxQueuedLines = 4096;
constexpr std::chrono::milliseconds kFlushTimeout{300};

struct EventQuota {
  double lines = kBurstLines;
  std::chrono::steady_clock::time_point refilled_at;
  uint64_t suppressed = 0;
};

struct QueuedLine {
  log4cplus::LogLevel level = 0;
  std::string text;
};

// Queue between the logging threads and the writer thread.
class LogQueue {
 public:
  LogQueue() : thread_([this] { Run(); }) {}
  LogQueue(const LogQueue&) = delete;
  LogQueue& operator=(const LogQueue&) = delete;
  ~LogQueue() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  // Takes one line from the quota of the event. Returns the number of lines
  // dropped before it, or nothing if this line is dropped too.
  std::optional<uint64_t> Admit(std::string_view event) {
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    auto it = quotas_.find(event);
    if (it == quotas_.end()) {
      it = quotas_.emplace(event, EventQuota{kBurstLines, now, 0}).first;
    }
    EventQuota& quota = it->second;
    const std::chrono::duration<double> passed = now - quota.refilled_at;
    quota.refilled_at = now;
    quota.lines =
        std::min(kBurstLines, quota.lines + passed.count() * kLinesPerSecond);
    if (quota.lines < 1 || lines_.size() >= kMaxQueuedLines) {
      ++quota.suppressed;
      return std::nullopt;
    }
    quota.lines -= 1;
    return std::exchange(quota.suppressed, 0);
  }

  void Push(QueuedLine line) {
    {
      std::lock_guard lock(mutex_);
      lines_.push_back(std::move(line));
    }
    changed_.notify_all();
  }

  void Flush() {
    std::unique_lock lock(mutex_);
    written_.wait_for(lock, kFlushTimeout,
                      [this] { return lines_.empty() && !writing_; });
  }

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
      if (lines_.empty()) {
        return;
      }
      std::deque<QueuedLine> lines;
      lines.swap(lines_);
      writing_ = true;
      lock.unlock();
      auto root = log4cplus::Logger::getRoot();
      for (const QueuedLine& it : lines) {
        root.forcedLog(it.level, it.text);
      }
      lock.lock();
      writing_ = false;
      written_.notify_all();
    }
  }

  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<std::string, EventQuota, std::less<>> quotas_;
  std::deque<QueuedLine> lines_;
  bool writing_ = false;
  bool stopping_ = false;
  std::condition_variable changed_;
  std::condition_variable written_;
  std::thread thread_;
};

LogQueue& Queue() {
  static LogQueue queue;
  return queue;
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

void InitializeLog(LogLevel min_level) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(min_level));
  // The queue uses log4cplus until it is destroyed. Created after
  // `initializer`, it is destroyed before it.
  Queue();
}

void FlushLog() {
  Queue().Flush();
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
  const auto suppressed = Queue().Admit(event);
  if (!suppressed) {
    return;
  }
  std::string line = "event=" + std::string(event);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    line += EscapeLogValue(value);
  }
  if (*suppressed > 0) {
    line += " suppressed=" + std::to_string(*suppressed);
  }
  Queue().Push({log4cplus_level, std::move(line)});
}

}  // namespace gooseberryrock::telemetry
