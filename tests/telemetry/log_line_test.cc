// Tests parsing of log lines.

#include "gooseberryrock/telemetry/log_line.h"

#include <gtest/gtest.h>

#include <chrono>

#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::telemetry {
namespace {

// The parser must not split values quoted by the writer.
TEST(LogLineTest, ReadsBackWhatIsWritten) {
  const std::string value = "a b=\"c\"\\d\ne\x01\xff";
  const auto line = ParseLogLine(
      "entry-1 time=2026-12-04T14:03:48.552Z level=INFO event=e x=" +
      EscapeLogValue(value) + " y=1");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->Field("event"), "e");
  EXPECT_EQ(line->Field("x"), value);
  EXPECT_EQ(line->Field("y"), "1");
  EXPECT_EQ(line->Field("z"), "");
  EXPECT_EQ(line->time, std::chrono::system_clock::from_time_t(1796393028) +
                            std::chrono::milliseconds(552));
}

// Output of other programs must not be parsed as a log line.
TEST(LogLineTest, RefusesOtherText) {
  for (const char* text :
       {"", "started", "time=now event=e", "time=2026-12-04T14:03:48.552Z",
        "time=2026-12-04T14:03:48.552Z event=\"e",
        "time=2026-12-04T14:03:48.552Z event=\"e\"f",
        "time=2026-12-04T14:03:48.552Z event=\"\\x4\"",
        "time=2026-12-04T14:03:48.552Z event"}) {
    EXPECT_FALSE(ParseLogLine(text)) << text;
  }
}

}  // namespace
}  // namespace gooseberryrock::telemetry
