// Structured logs.

#include "gooseberryrock/telemetry/log_event.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace gooseberryrock::telemetry {
namespace {

using testing::EndsWith;
using testing::HasSubstr;

std::string Logged(LogLevel least, LogLevel level, const std::string& value) {
  testing::internal::CaptureStderr();
  InitializeLog(least);
  LogEvent(level, "test_event", {{"key", value}, {"last", "1"}});
  return testing::internal::GetCapturedStderr();
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
