// Tests of the request rate that a server names.

#include <gtest/gtest.h>

#include "gooseberryrock/relay/request_limit.h"
#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

// Guards against a limit that a late reply lifts although the server still
// names it, and against one that stays after the server stopped naming it.
TEST(RequestLimitTest, OnlyALaterReplyLiftsIt) {
  RequestLimit limit;
  RecordLimit(limit, 30, kStart, kStart + Ms(10));
  RecordLimit(limit, std::nullopt, kStart + Ms(5), kStart + Ms(20));
  EXPECT_EQ(limit.per_second, 30);
  RecordLimit(limit, std::nullopt, kStart + Ms(15), kStart + Ms(30));
  EXPECT_FALSE(limit.per_second);
}

}  // namespace
}  // namespace gooseberryrock::relay
