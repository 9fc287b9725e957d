// Tests structured logging.

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

std::string CaptureEvent(LogLevel min_level,
                         LogLevel level,
                         const std::string& value) {
  testing::internal::CaptureStdout();
  InitializeLog(min_level);
  LogEvent(level, "test_event", {{"key", value}, {"last", "1"}});
  FlushLog();
  return testing::internal::GetCapturedStdout();
}

// A value from a caller must not forge a field or an event.
TEST(LogEventTest, ValueCannotForgeFieldOrEvent) {
  const std::string line =
      CaptureEvent(LogLevel::kInfo, LogLevel::kInfo,
                   "x\nlevel=ERROR event=forged a=\"b\" \\\r\x1b\x7f");
  EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
  EXPECT_THAT(line, EndsWith(" level=INFO event=test_event "
                             "key=\"x\\nlevel=ERROR event=forged a=\\\"b\\\" "
                             "\\\\\\x0d\\x1b\\x7f\" last=1\n"));
}

// A value that contains a separator must not be parsed as two fields.
TEST(LogEventTest, QuotesOnlyWhatNeedsIt) {
  EXPECT_EQ(EscapeLogValue("10.0.0.1:80"), "10.0.0.1:80");
  EXPECT_EQ(EscapeLogValue("a=b"), "\"a=b\"");
  EXPECT_EQ(EscapeLogValue("a b"), "\"a b\"");
  EXPECT_EQ(EscapeLogValue(""), "\"\"");
}

// A flood of one event must not fill the log or suppress other events, and
// dropped lines must be reported.
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

// The log level in the settings must take effect.
TEST(LogEventTest, LevelComesFromSettings) {
  EXPECT_EQ(
      CaptureEvent(ParseLogLevel("warning").value(), LogLevel::kInfo, "x"), "");
  EXPECT_THAT(
      CaptureEvent(ParseLogLevel("warning").value(), LogLevel::kError, "x"),
      HasSubstr("level=ERROR event=test_event"));
  EXPECT_THAT(
      CaptureEvent(ParseLogLevel("debug").value(), LogLevel::kDebug, "x"),
      HasSubstr("level=DEBUG"));
  EXPECT_EQ(ParseLogLevel("loud"), std::nullopt);
}

}  // namespace
}  // namespace gooseberryrock::telemetry
