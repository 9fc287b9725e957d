// Structured logs.

#include "gooseberryrock/telemetry/log_event.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace gooseberryrock::telemetry {
namespace {

using testing::EndsWith;
using testing::HasSubstr;

std::string Logged(LogLevel least, LogLevel level, const std::string& value) {
  testing::internal::CaptureStdout();
  InitializeLog(least);
  LogEvent(level, "test_event", {{"key", value}, {"last", "1"}});
  FlushLog();
  return testing::internal::GetCapturedStdout();
}

// Guards against a value of a caller that forges a field or an event.
TEST(LogEventTest, ValueCannotForgeFieldOrEvent) {
  const std::string line =
      Logged(LogLevel::kInfo, LogLevel::kInfo,
             "x\nlevel=ERROR event=forged a=\"b\" \\\r\x1b\x7f");
  EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
  EXPECT_THAT(line, EndsWith(" level=INFO event=test_event "
                             "key=\"x\\nlevel=ERROR event=forged a=\\\"b\\\" "
                             "\\\\\\x0d\\x1b\\x7f\" last=1\n"));
}

// Guards against a reader that takes a value with a separator for two fields.
TEST(LogEventTest, QuotesOnlyWhatNeedsIt) {
  EXPECT_EQ(EscapeLogValue("10.0.0.1:80"), "10.0.0.1:80");
  EXPECT_EQ(EscapeLogValue("a=b"), "\"a=b\"");
  EXPECT_EQ(EscapeLogValue("a b"), "\"a b\"");
  EXPECT_EQ(EscapeLogValue(""), "\"\"");
}

// Guards against a flood of one event that fills the log or hides others, and
// against lines that are left out without a word.
TEST(LogEventTest, FloodOfOneEventIsLimitedAndCounted) {
  testing::internal::CaptureStdout();
  InitializeLog(LogLevel::kInfo);
  for (int i = 0; i < 1000; ++i) {
    LogEvent(LogLevel::kInfo, "flood", {{"n", std::to_string(i)}});
  }
  LogEvent(LogLevel::kInfo, "other", {});
  FlushLog();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  LogEvent(LogLevel::kInfo, "flood", {{"n", "last"}});
  FlushLog();
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 100);
  EXPECT_THAT(text, HasSubstr("event=other"));
  EXPECT_THAT(text, HasSubstr("n=last suppressed=9"));
}

// Guards against a log level of the settings that has no effect.
TEST(LogEventTest, LevelComesFromSettings) {
  EXPECT_EQ(Logged(ParseLogLevel("warning").value(), LogLevel::kInfo, "x"), "");
  EXPECT_THAT(Logged(ParseLogLevel("warning").value(), LogLevel::kError, "x"),
              HasSubstr("level=ERROR event=test_event"));
  EXPECT_THAT(Logged(ParseLogLevel("debug").value(), LogLevel::kDebug, "x"),
              HasSubstr("level=DEBUG"));
  EXPECT_EQ(ParseLogLevel("loud"), std::nullopt);
}

}  // namespace
}  // namespace gooseberryrock::telemetry
