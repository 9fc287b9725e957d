// The request rate of cold servers, divided among I/O shards.

#include "gooseberryrock/relay/cold_limit.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <vector>

#include "gooseberryrock/relay/request_limit.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kStart{};

// Sends whatever the limits allow at once, after a pause in which no shard
// sends anything, and returns the most requests in any second.
size_t MostInASecond(std::vector<ColdLimit>& limits) {
  std::deque<SteadyTime> sent;
  size_t most = 0;
  const SteadyTime begin = kStart + seconds(30);
  for (SteadyTime now = begin; now < begin + seconds(5);
       now += milliseconds(5)) {
    for (ColdLimit& it : limits) {
      while (MaySend(it, now)) {
        CountSend(it, now);
        sent.push_back(now);
      }
    }
    while (!sent.empty() && sent.front() <= now - seconds(1)) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
  }
  return most;
}

// Guards against a cold server that is overrun after a pause, by all nodes at
// once. Includes nodes that have been cut off for long: all others have divided
// the whole rate again, and these use a quarter of theirs.
TEST(ColdLimitTest, AllShardsTogetherKeepTheRule) {
  for (const double rate : {0.5, 1.0, 4.0, 10.0, 60.0, 400.0}) {
    const uint32_t burst = ColdBurst(rate);
    ASSERT_GE(burst, 1U);
    std::vector<ColdLimit> limits;
    for (uint32_t i = 0; i < burst; ++i) {
      LimitCold(limits.emplace_back(), ColdShareOf(rate, 1), kStart);
    }
    ColdLimit cut_off;
    ColdShare rest = ColdShareOf(rate, burst / 4);
    LimitCold(cut_off, rest, kStart);
    limits.push_back(cut_off);
    EXPECT_LE(static_cast<double>(MostInASecond(limits)), 1.5 * rate + 5)
        << rate;
  }
}

// Guards against a cold server that warms up for too long because the nodes use
// less than the rate.
TEST(ColdLimitTest, RateIsUsed) {
  constexpr double kRate = 10;
  std::vector<ColdLimit> limits;
  for (uint32_t i = 0; i < ColdBurst(kRate); ++i) {
    LimitCold(limits.emplace_back(), ColdShareOf(kRate, 1), kStart);
  }
  int sent = 0;
  for (SteadyTime now = kStart; now < kStart + seconds(10);
       now += milliseconds(5)) {
    for (ColdLimit& it : limits) {
      if (MaySend(it, now)) {
        CountSend(it, now);
        ++sent;
      }
    }
  }
  EXPECT_GE(sent, 95);
  EXPECT_LE(sent, 104);
}

// Guards against requests at once when a server becomes cold again, and against
// a share that is set again and refills the limit.
TEST(ColdLimitTest, StartsWithoutRequests) {
  ColdLimit limit;
  EXPECT_TRUE(MaySend(limit, kStart));
  const ColdShare share = ColdShareOf(2, 3);
  for (int ms = 0; ms < 500; ms += 10) {
    LimitCold(limit, share, kStart + milliseconds(ms));
    EXPECT_FALSE(MaySend(limit, kStart + milliseconds(ms)));
  }
  const SteadyTime next = NextSendTime(limit, kStart + milliseconds(490));
  EXPECT_GE(next, kStart + milliseconds(500));
  EXPECT_LT(next, kStart + milliseconds(501));
  EXPECT_TRUE(MaySend(limit, next));
  LiftCold(limit);
  EXPECT_TRUE(MaySend(limit, kStart));
}

// Guards against a limit that a server names and that no longer holds because
// the server is cold, or the other way round.
TEST(ColdLimitTest, NamedLimitHoldsAsWell) {
  RequestLimit limit;
  RecordLimit(limit, 1, kStart, kStart);
  LimitCold(limit.cold, ColdShareOf(60, ColdBurst(60)), kStart);
  EXPECT_FALSE(MaySend(limit, Rank::kUrgent, kStart + milliseconds(900)));
  EXPECT_TRUE(MaySend(limit, Rank::kUrgent, kStart + seconds(1)));
  RecordLimit(limit, 1000, kStart, kStart + seconds(1));
  LimitCold(limit.cold, ColdShareOf(1, 1), kStart + seconds(1));
  CountSend(limit, kStart + seconds(2));
  EXPECT_FALSE(MaySend(limit, Rank::kUrgent, kStart + milliseconds(2100)));
  EXPECT_GT(NextSendTime(limit, Rank::kUrgent, kStart + milliseconds(2100)),
            kStart + seconds(3));
}

// Guards against a node without a part that sends requests all the same, or
// computes a time for them.
TEST(ColdLimitTest, NoPartMeansNoRequests) {
  ColdLimit limit;
  LimitCold(limit, ColdShareOf(10, 0), kStart);
  EXPECT_FALSE(MaySend(limit, kStart + seconds(1000)));
  EXPECT_EQ(NextSendTime(limit, kStart + seconds(1)), SteadyTime::max());
}

}  // namespace
}  // namespace gooseberryrock::relay
