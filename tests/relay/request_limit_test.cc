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

// Guards against a node that uses more than its part of the limit, or a burst
// of all requests that were not used for a long time.
TEST(RequestLimitTest, PartOfTheLimitIsUsed) {
  RequestLimit limit;
  SetLimitShare(limit, 0.1, kStart);
  RecordLimit(limit, 40, kStart, kStart);
  int sent = 0;
  for (SteadyTime now = kStart; now < kStart + Ms(10'000); now += Ms(1)) {
    if (MaySend(limit, Rank::kUrgent, now)) {
      CountSend(limit, now);
      ++sent;
    }
  }
  EXPECT_GE(sent, 39);
  EXPECT_LE(sent, 40);
  sent = 0;
  const SteadyTime later = kStart + Ms(100'000);
  while (MaySend(limit, Rank::kUrgent, later)) {
    CountSend(limit, later);
    ++sent;
  }
  EXPECT_EQ(sent, 4);
}

// Guards against less urgent requests that leave none for urgent ones.
TEST(RequestLimitTest, SomeAreLeftForMoreUrgentRequests) {
  RequestLimit limit;
  RecordLimit(limit, 10, kStart, kStart);
  const SteadyTime later = kStart + Ms(5000);
  while (MaySend(limit, Rank::kBackground, later)) {
    CountSend(limit, later);
  }
  EXPECT_TRUE(MaySend(limit, Rank::kNormal, later));
  while (MaySend(limit, Rank::kNormal, later)) {
    CountSend(limit, later);
  }
  EXPECT_TRUE(MaySend(limit, Rank::kUrgent, later));
  EXPECT_GT(NextSendTime(limit, Rank::kBackground, later), later);
}

// Guards against a server that is never asked again: only a reply can show that
// its limit has ended.
TEST(RequestLimitTest, LimitOfZeroIsProbed) {
  RequestLimit limit;
  SetLimitShare(limit, 0.25, kStart);
  RecordLimit(limit, 0, kStart, kStart);
  EXPECT_FALSE(MaySend(limit, Rank::kUrgent, kStart + Ms(1000)));
  EXPECT_EQ(NextSendTime(limit, Rank::kUrgent, kStart), kStart + Ms(8000));
  EXPECT_TRUE(MaySend(limit, Rank::kUrgent, kStart + Ms(8000)));
}

}  // namespace
}  // namespace gooseberryrock::relay
