// Tests the merging of records.

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

// Guards against comparing records as signed bytes, dropping duplicates and
// reading an incomplete record.
TEST(GatherTest, GreatestFirstByteByByte) {
  const std::string a = Record('\x7f') + Record('\x01') + "short";
  const std::string b = Record('\xff') + Record('\x7f');
  const std::vector<std::string_view> bodies = {a, b};
  EXPECT_EQ(TopRecords(bodies, 3),
            Record('\xff') + Record('\x7f') + Record('\x7f'));
  EXPECT_EQ(TopRecords(bodies, 10).size(), 4 * kRecordBytes);
  EXPECT_EQ(TopRecords({}, 10), "");
}

// Guards against an answer below the route's minimum coverage.
TEST(GatherTest, MinShardsRoundsUp) {
  EXPECT_EQ(MinShards(10, 0.89), 9U);
  EXPECT_EQ(MinShards(10, 0.75), 8U);
  EXPECT_EQ(MinShards(10, 0.7), 7U);
  EXPECT_EQ(MinShards(36, 0.95), 35U);
  EXPECT_EQ(MinShards(10, 0), 1U);
  EXPECT_EQ(MinShards(10, 1), 10U);
}

}  // namespace
}  // namespace gooseberryrock::relay
