// Tests the statistics about a server.

#include <gtest/gtest.h>

#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/server_stats.h"
#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

class ServerStatsTest : public testing::Test {
 protected:
  void Record(AttemptResult result, SteadyTime sent, SteadyTime now) {
    RecordResult(stats_, policy_, result, sent, Ms(10), now);
  }

  RelayPolicy policy_;
  ServerStats stats_;
};

// Guards against mistaking a pause for slowness: replies to attempts that were
// in flight at the same time count once.
TEST_F(ServerStatsTest, PauseCountsOnce) {
  for (int i = 0; i < 5; ++i) {
    Record(AttemptResult::kAnswered, kStart, kStart + Ms(150 + i));
  }
  EXPECT_LT(stats_.slowness, 2.1);
}

// Guards against a slow server that keeps receiving requests, or is never used
// again.
TEST_F(ServerStatsTest, SlowServerIsDetectedAndRetriedLater) {
  SteadyTime now = kStart;
  for (int i = 0; i < 10; ++i) {
    Record(AttemptResult::kAnswered, now, now + Ms(80));
    now += Ms(81);
  }
  EXPECT_GT(SlownessAt(stats_, policy_, now), 4);
  EXPECT_LT(SlownessAt(stats_, policy_, now + std::chrono::seconds(10)), 1.3);
}

// Guards against a node of a large deployment returning to a slow server each
// time it sends it a request, every 700 ms: the cost of another failure domain
// equals that of a server that takes twice the typical time.
TEST_F(ServerStatsTest, SecondSlowReplyConfirms) {
  Record(AttemptResult::kAnswered, kStart, kStart + Ms(110));
  EXPECT_LE(stats_.slowness, 2);
  Record(AttemptResult::kAnswered, kStart + Ms(700), kStart + Ms(810));
  EXPECT_GT(SlownessAt(stats_, policy_, kStart + Ms(2000)), 2);
}

// Guards against trying a lost server with each request, and against never
// probing it again.
TEST_F(ServerStatsTest, ProbeDelayGrowsUpToALimit) {
  Duration last = Duration::zero();
  for (int i = 0; i < 8; ++i) {
    Record(AttemptResult::kLost, kStart, kStart);
    EXPECT_TRUE(IsSuspect(stats_, kStart));
    EXPECT_GE(stats_.next_probe - kStart, last);
    last = stats_.next_probe - kStart;
  }
  EXPECT_EQ(last, policy_.max_probe_delay);
  Record(AttemptResult::kAnswered, kStart, kStart + Ms(10));
  EXPECT_FALSE(IsSuspect(stats_, kStart + Ms(10)));
}

// Guards against taking a server for silent that replies to some requests, or
// that has restarted.
TEST_F(ServerStatsTest, StalledWhileNothingArrives) {
  RecordOverdue(stats_, kStart);
  RecordOverdue(stats_, kStart + Ms(90));
  EXPECT_FALSE(IsStalled(stats_, Ms(100), kStart + Ms(99)));
  EXPECT_TRUE(IsStalled(stats_, Ms(100), kStart + Ms(100)));
  Record(AttemptResult::kAnswered, kStart, kStart + Ms(100));
  EXPECT_FALSE(IsStalled(stats_, Ms(100), kStart + Ms(150)));
  EXPECT_TRUE(IsStalled(stats_, Ms(100), kStart + Ms(200)));
  stats_ = {};
  stats_.overdue = 1;
  EXPECT_FALSE(IsStalled(stats_, Ms(100), kStart + Ms(200)));
}

// Guards against taking a server for full long after its refusals, or after a
// single one.
TEST_F(ServerStatsTest, RefusalsAreForgotten) {
  Record(AttemptResult::kRefused, kStart, kStart);
  EXPECT_LT(RefusalShareAt(stats_, kStart), 0.5);
  for (int i = 0; i < 10; ++i) {
    Record(AttemptResult::kRefused, kStart, kStart);
  }
  EXPECT_GT(RefusalShareAt(stats_, kStart), 0.9);
  EXPECT_LT(RefusalShareAt(stats_, kStart + Ms(2000)), 0.3);
  for (int i = 0; i < 10; ++i) {
    Record(AttemptResult::kAnswered, kStart, kStart + Ms(10));
  }
  EXPECT_LT(RefusalShareAt(stats_, kStart + Ms(10)), 0.1);
}

// Guards against avoiding a server because of an outdated load report.
TEST_F(ServerStatsTest, LoadReportsAge) {
  RecordLoad(stats_, {8, 2, 4, std::nullopt}, kStart);
  EXPECT_DOUBLE_EQ(LoadAt(stats_, policy_, kStart), 10);
  EXPECT_LT(LoadAt(stats_, policy_, kStart + Ms(200)), 5);
  EXPECT_DOUBLE_EQ(LoadAt(stats_, policy_, kStart + Ms(300)), 0);
}

}  // namespace
}  // namespace gooseberryrock::relay
