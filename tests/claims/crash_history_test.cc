// Requests that crash servers, and requests that run beside them.

#include "gooseberryrock/claims/crash_history.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

namespace gooseberryrock::claims {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Fingerprint kCrashing = 1;
constexpr Fingerprint kBeside = 2;

class CrashHistoryTest : public testing::Test {
 protected:
  CrashDecision Check(Fingerprint fingerprint,
                      RequestKind kind = RequestKind::kRelayed) const {
    return CheckRequest(history_, fingerprint, kind, now_);
  }

  CrashHistory history_;
  SteadyTime now_{seconds(1000)};
};

// Guards against a request that goes on crashing servers for as long as its
// caller sends it again, as often and as late as it likes.
TEST_F(CrashHistoryTest, CrashingRequestIsRefused) {
  for (const Duration pause : {milliseconds(50), milliseconds(1000),
                               milliseconds(4500), milliseconds(30000)}) {
    history_ = {};
    CrashId next_crash = 1;
    int runs_after_third = 0;
    for (SteadyTime end = now_ + minutes(9); now_ < end; now_ += pause) {
      const CrashDecision decision = Check(kCrashing);
      if (decision.action == CrashAction::kRefuse) {
        EXPECT_GT(decision.retry_after, Duration::zero());
        continue;
      }
      if (decision.action == CrashAction::kTrial) {
        StartTrial(history_, kCrashing, now_ + seconds(1), now_);
      }
      // Without a decision against it, the request has a retry.
      const int sends = decision.action == CrashAction::kRun ? 2 : 1;
      for (int i = 0; i < sends; ++i) {
        RecordCrash(history_, kCrashing, next_crash++, now_);
      }
      runs_after_third += next_crash > 4 ? 1 : 0;
    }
    EXPECT_LE(runs_after_third, 2) << pause.count();
    EXPECT_LE(next_crash - 1, 5U) << pause.count();
  }
}

// Guards against a gathered request that crashes a server of each shard in
// every run.
TEST_F(CrashHistoryTest, CrashingGatheredRequestIsRefusedAfterThreeRuns) {
  for (CrashId run = 1; run <= 3; ++run) {
    EXPECT_NE(Check(kCrashing, RequestKind::kGathered).action,
              CrashAction::kRefuse);
    for (int shard = 0; shard < 10; ++shard) {
      RecordCrash(history_, kCrashing, run, now_);
    }
    now_ += seconds(20);
  }
  EXPECT_EQ(Check(kCrashing, RequestKind::kGathered).action,
            CrashAction::kRefuse);
}

// Guards against a request that is refused because it was on servers which
// other requests crashed, or which ended for other reasons one after another.
TEST_F(CrashHistoryTest, RequestBesideCrashesIsServed) {
  for (CrashId crash = 1; crash <= 12; ++crash) {
    RecordCrash(history_, kBeside, crash, now_);
    EXPECT_EQ(Check(kBeside).action, CrashAction::kRun);
    EXPECT_TRUE(RecordAnswer(history_, kBeside, now_));
    now_ += seconds(1);
  }
  // Not answered in between: the crashes are attributed to the other request,
  // which crashed one server more.
  RecordCrash(history_, kCrashing, 100, now_);
  for (CrashId crash = 101; crash <= 106; ++crash) {
    RecordCrash(history_, kCrashing, crash, now_);
    RecordCrash(history_, kBeside, crash, now_);
    EXPECT_EQ(Check(kBeside).action, CrashAction::kRun);
  }
  EXPECT_EQ(Check(kCrashing).action, CrashAction::kRefuse);
  // Without another request to attribute them to, it has a trial at once.
  const Fingerprint alone = 3;
  for (CrashId crash = 201; crash <= 203; ++crash) {
    RecordCrash(history_, alone, crash, now_);
  }
  EXPECT_EQ(Check(alone).action, CrashAction::kTrial);
  RecordAnswer(history_, alone, now_);
  EXPECT_EQ(Check(alone).action, CrashAction::kRun);
}

// Guards against several trials at once, and against a trial of a lost node
// that prevents all others.
TEST_F(CrashHistoryTest, OneTrialAtATime) {
  for (CrashId crash = 1; crash <= 3; ++crash) {
    RecordCrash(history_, kCrashing, crash, now_);
  }
  ASSERT_EQ(Check(kCrashing).action, CrashAction::kTrial);
  StartTrial(history_, kCrashing, now_ + minutes(5), now_);
  EXPECT_EQ(Check(kCrashing).action, CrashAction::kRefuse);
  now_ += kMaxTrialTime;
  EXPECT_EQ(Check(kCrashing).action, CrashAction::kTrial);
}

// Guards against nodes that differ for good when notices arrive late, twice, in
// another order or not at all, and against an answer that is undone by an
// older notice.
TEST_F(CrashHistoryTest, NodesAgreeWhateverTheOrder) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<CrashHistory> nodes(3);
    std::vector<CrashNotice> sent;
    for (int step = 0; step < 40; ++step) {
      CrashHistory& node = nodes[random() % nodes.size()];
      const Fingerprint fingerprint = 1 + random() % 2;
      if (random() % 4 == 0) {
        RecordAnswer(node, fingerprint, now_);
      } else {
        RecordCrash(node, fingerprint, 1 + random() % 6, now_);
      }
      for (auto& it : NoticesSince(node, 0, 10, now_).notices) {
        sent.push_back(std::move(it));
      }
      now_ += milliseconds(10);
      if (!sent.empty()) {
        MergeNotice(nodes[random() % nodes.size()],
                    sent[random() % sent.size()], now_);
      }
    }
    for (CrashHistory& node : nodes) {
      std::shuffle(sent.begin(), sent.end(), random);
      for (const CrashNotice& it : sent) {
        MergeNotice(node, it, now_);
      }
    }
    for (const CrashHistory& node : nodes) {
      for (const auto& [fingerprint, record] : nodes[0].requests) {
        auto own = node.requests.at(fingerprint);
        auto other = record;
        for (auto* ids :
             {&own.crashes, &own.cleared, &other.crashes, &other.cleared}) {
          std::sort(ids->begin(), ids->end());
        }
        EXPECT_EQ(own.crashes, other.crashes) << seed;
        EXPECT_EQ(own.cleared, other.cleared) << seed;
      }
    }
  }
}

// Guards against a node that learns nothing of what changed while its polls
// were lost, or that is sent everything again and again.
TEST_F(CrashHistoryTest, NoticesFollowTheChanges) {
  for (Fingerprint it = 1; it <= 5; ++it) {
    RecordCrash(history_, it, it, now_);
  }
  const CrashNotices first = NoticesSince(history_, 0, 3, now_);
  ASSERT_EQ(first.notices.size(), 3U);
  const CrashNotices rest = NoticesSince(history_, first.changes, 3, now_);
  EXPECT_EQ(rest.notices.size(), 2U);
  EXPECT_TRUE(NoticesSince(history_, rest.changes, 3, now_).notices.empty());
  EXPECT_FALSE(MergeNotice(history_, rest.notices[0], now_));
  EXPECT_TRUE(NoticesSince(history_, rest.changes, 3, now_).notices.empty());
}

// Guards against memory that grows with the number of different requests or
// crashes, and against records that are kept for good.
TEST_F(CrashHistoryTest, MemoryIsBounded) {
  for (CrashId crash = 1; crash <= 5; ++crash) {
    RecordCrash(history_, kCrashing, crash, now_);
  }
  for (Fingerprint it = 10; it < 10 + 3 * kMaxRecordedRequests; ++it) {
    now_ += milliseconds(1);
    RecordCrash(history_, it, 1'000'000 + it, now_);
  }
  EXPECT_EQ(history_.requests.size(), kMaxRecordedRequests);
  EXPECT_EQ(Check(kCrashing).action, CrashAction::kRefuse);
  for (CrashId crash = 1; crash <= 100; ++crash) {
    RecordCrash(history_, kBeside, crash, now_);
    RecordAnswer(history_, kBeside, now_);
    RecordCrash(history_, kCrashing, 100 + crash, now_);
  }
  EXPECT_EQ(history_.requests.at(kCrashing).crashes.size(), kMaxCrashIds);
  EXPECT_EQ(history_.requests.at(kBeside).cleared.size(), kMaxCrashIds);
  now_ += kRecordLifetime + seconds(1);
  EXPECT_EQ(Check(kCrashing).action, CrashAction::kRun);
  RemoveExpired(history_, now_);
  EXPECT_TRUE(history_.requests.empty());
}

}  // namespace
}  // namespace gooseberryrock::claims
