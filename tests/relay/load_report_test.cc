// Tests how statements of servers about their slowness are used.

#include <gtest/gtest.h>

#include "gooseberryrock/relay/load_report.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

class LoadReportTest : public testing::Test {
 protected:
  // A reply with `stated` slowness after `elapsed` where 10 ms are typical.
  void Reply(double stated, Duration elapsed, uint32_t waiting = 0) {
    RecordReport(report_, {0, waiting, 4, stated}, 0, now_ + elapsed);
    RecordObservedTime(report_, now_, Ms(10), now_ + elapsed);
    now_ += elapsed + Ms(1);
  }

  double Slowness(Duration age = Duration::zero(), double observed = 1) const {
    return StatedSlowness(report_, policy_, observed,
                          report_.reported_at + age);
  }

  RelayPolicy policy_;
  LoadReport report_;
  SteadyTime now_ = kStart;
};

// Guards against a change for servers that state no slowness.
TEST_F(LoadReportTest, ThreeFiguresAreNoStatement) {
  RecordReport(report_, {3, 2, 4, std::nullopt}, 0, now_);
  EXPECT_FALSE(IsStated(report_, policy_));
  Reply(2, Ms(20));
  EXPECT_TRUE(IsStated(report_, policy_));
  policy_.use_stated_slowness = false;
  EXPECT_FALSE(IsStated(report_, policy_));
}

// Load: spells of 0.6 s at 2.5 times the usual time. Guards against work that
// is sent to a slow server, and against avoiding it long after the spell.
TEST_F(LoadReportTest, SpellCountsAtOnceAndFades) {
  for (int i = 0; i < 50; ++i) {
    Reply(1, Ms(10));
  }
  Reply(2.5, Ms(25));
  EXPECT_NEAR(Slowness(), 2.5, 0.1);
  EXPECT_NEAR(Slowness(Ms(150)), 1.75, 0.1);
  EXPECT_LT(Slowness(Ms(600)), 1.15);
}

// Load: persistent speeds of 0.8 and 1.3. Guards against taking spells or the
// queue for the speed of the machine.
TEST_F(LoadReportTest, SpeedIsSeparateFromSpellsAndQueue) {
  for (int i = 0; i < 200; ++i) {
    if (i % 7 == 0) {
      Reply(2.5, Ms(32));
    } else if (i % 7 == 1) {
      Reply(1, Ms(26), 4);
    } else {
      Reply(1, Ms(13));
    }
  }
  EXPECT_NEAR(report_.speed_factor, 1.3, 0.05);
  EXPECT_EQ(TrustIn(report_), 1);
}

// Load: pauses of 120 ms every 3 s. Guards against losing trust in a server
// that states the truth.
TEST_F(LoadReportTest, PausesCostNoTrust) {
  for (int i = 0; i < 400; ++i) {
    Reply(1, i % 25 == 0 ? Ms(120) : Ms(10));
    EXPECT_EQ(TrustIn(report_), 1);
  }
  EXPECT_LT(report_.speed_factor, 1.2);
}

// Load: a server that always states to be fast, and one that states so only
// while it is slow. Guards against statements that attract work.
TEST_F(LoadReportTest, FalseStatementsGainLittle) {
  for (int i = 0; i < 100; ++i) {
    Reply(0.01, Ms(20));
  }
  EXPECT_NEAR(Slowness(), 2, 0.1);
  report_ = {};
  for (int i = 0; i < 100; ++i) {
    Reply(1, i / 10 % 2 == 0 ? Ms(10) : Ms(60));
  }
  EXPECT_LT(TrustIn(report_), 0.3);
  EXPECT_GT(Slowness(Duration::zero(), 4), 3);
  report_ = {};
  for (int i = 0; i < 100; ++i) {
    Reply(100, Ms(10));
  }
  Reply(0.01, Ms(10));
  EXPECT_GE(Slowness(), 0.5);
}

// Guards against a server that attracts work by stating more slots than it
// announced.
TEST_F(LoadReportTest, SlotsAreAtMostThoseAnnounced) {
  RecordReport(report_, {0, 0, 900, 1}, 0, now_);
  EXPECT_EQ(StatedSlots(report_, 4), 4U);
  RecordReport(report_, {0, 0, 2, 1}, 0, now_);
  EXPECT_EQ(StatedSlots(report_, 4), 2U);
  RecordReport(report_, {0, 0, 0, 1}, 0, now_);
  EXPECT_EQ(StatedSlots(report_, 4), 4U);
}

// Guards against counting this node's attempts twice, and against forgetting
// those that were sent after the report.
TEST_F(LoadReportTest, RequestsOfOthersAreAddedToOwn) {
  RecordReport(report_, {4, 3, 4, 1}, 2, now_);
  EXPECT_DOUBLE_EQ(StatedRequests(report_, policy_, 2, now_), 7);
  EXPECT_DOUBLE_EQ(StatedRequests(report_, policy_, 4, now_), 9);
  EXPECT_NEAR(StatedRequests(report_, policy_, 4, now_ + Ms(150)), 6.5, 0.3);
  EXPECT_NEAR(StatedRequests(report_, policy_, 4, now_ + Ms(300)), 4, 0.5);
}

// Load: twelve nodes of a domain that each learn of a server every 85 ms.
// Guards against taking a server for idle when its last report is old.
TEST_F(LoadReportTest, OldReportFadesToTheUsualNumber) {
  for (int i = 0; i < 100; ++i) {
    RecordReport(report_, {3, 2, 4, 1}, 1, now_);
  }
  RecordReport(report_, {0, 0, 4, 1}, 0, now_);
  EXPECT_NEAR(StatedRequests(report_, policy_, 0, now_), 0, 0.1);
  EXPECT_GT(StatedRequests(report_, policy_, 0, now_ + Ms(300)), 3);
  EXPECT_LT(StatedRequests(report_, policy_, 0, now_ + Ms(10000)), 0.2);
}

}  // namespace
}  // namespace gooseberryrock::relay
