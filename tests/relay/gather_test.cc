// Merging of records.

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "gooseberryrock/relay/gather.h"

namespace gooseberryrock::relay {
namespace {

std::string Record(char c) {
  return std::string(kRecordBytes, c);
}

// Guards against records that are compared as signed bytes, dropped when equal,
// or read from a remainder.
TEST(GatherTest, GreatestFirstByteByByte) {
  const std::string a = Record('\x7f') + Record('\x01') + "short";
  const std::string b = Record('\xff') + Record('\x7f');
  const std::vector<std::string_view> bodies = {a, b};
  EXPECT_EQ(GreatestRecords(bodies, 3),
            Record('\xff') + Record('\x7f') + Record('\x7f'));
  EXPECT_EQ(GreatestRecords(bodies, 10).size(), 4 * kRecordBytes);
  EXPECT_EQ(GreatestRecords({}, 10), "");
}

// Guards against an answer that covers less than the route says.
TEST(GatherTest, LeastShardsRoundsUp) {
  EXPECT_EQ(LeastShards(10, 0.89), 9U);
  EXPECT_EQ(LeastShards(10, 0.75), 8U);
  EXPECT_EQ(LeastShards(10, 0.7), 7U);
  EXPECT_EQ(LeastShards(36, 0.95), 35U);
  EXPECT_EQ(LeastShards(10, 0), 1U);
  EXPECT_EQ(LeastShards(10, 1), 10U);
}

}  // namespace
}  // namespace gooseberryrock::relay
