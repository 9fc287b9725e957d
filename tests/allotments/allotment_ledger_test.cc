// Tests the decisions of a control VM on the allotments of organisations.

#include "gooseberryrock/allotments/allotment_ledger.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace gooseberryrock::allotments {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr OrganisationHash kLarge = 1;
const Limits kLimits = {{kLarge, {60, 60}}};
const NodeId kNode = {"node"};
const NodeId kOtherVm = {"vm"};

class AllotmentLedgerTest : public testing::Test {
 protected:
  AllotmentLedgerTest() { SetLimits(ledger_, kLimits, 1, now_); }

  void Pass(Duration time) {
    for (const SteadyTime end = now_ + time; now_ < end;
         now_ += kLedgerInterval) {
      Advance(ledger_, now_);
    }
  }

  AllotmentReport ReportOf(uint64_t requests, uint64_t acknowledged = 0) {
    AllotmentReport report;
    report.counts[kLarge] = {{requests, requests},
                             {acknowledged, acknowledged}};
    return report;
  }

  // A report of the node, with `more` requests than the last one.
  void Report(uint64_t more) {
    requests_ += more;
    OnReport(ledger_, kNode, 1, ReportOf(requests_), now_);
  }

  // The same from another control VM.
  void Totals(uint64_t more) {
    vm_requests_ += more;
    AllotmentTotals totals;
    totals.is_complete = true;
    totals.organisations[kLarge].counts = {vm_requests_, vm_requests_};
    OnTotals(ledger_, kOtherVm, 1, totals, now_);
  }

  double Tokens() const { return ledger_.organisations.at(kLarge).tokens; }

  double Fraction() {
    const auto grant = MakeGrant(ledger_, {}, 1, now_);
    EXPECT_TRUE(grant);
    const auto it = grant->organisations.find(kLarge);
    return it == grant->organisations.end() ? 1 : it->second.fraction;
  }

  SteadyTime now_{seconds(1000)};
  AllotmentLedger ledger_ = MakeLedger({}, now_);
  uint64_t requests_ = 0;
  uint64_t vm_requests_ = 0;
};

// Guards against a control VM that grants what others have granted already.
TEST_F(AllotmentLedgerTest, GrantsNothingAtStart) {
  EXPECT_FALSE(MakeGrant(ledger_, {}, 1, now_));
  Pass(milliseconds(1500));
  EXPECT_TRUE(MakeGrant(ledger_, {}, 1, now_));
  // The node follows routes whose limits are not known here.
  EXPECT_FALSE(MakeGrant(ledger_, {}, 2, now_));
}

// Guards against a restarted control VM that forgets a debt, and against one
// that grants late although the others know the tokens.
TEST_F(AllotmentLedgerTest, TakesOverTokensAtStart) {
  AllotmentTotals totals;
  totals.is_granting = true;
  totals.is_complete = true;
  totals.organisations[kLarge] = {{700, 700}, -120};
  OnTotals(ledger_, kOtherVm, 1, totals, now_);
  Pass(milliseconds(500));
  EXPECT_LT(Tokens(), -10);
  EXPECT_LT(Fraction(), 1);
}

// Guards against refusals below the limit, and against a flood that is admitted
// beyond it.
TEST_F(AllotmentLedgerTest, FractionFollowsDemand) {
  Pass(seconds(3));
  for (int i = 0; i < 40; ++i) {
    Report(10);
    EXPECT_EQ(Fraction(), 1);
    Pass(milliseconds(250));
  }
  // A flood of 320/s of which everything is admitted.
  for (int i = 0; i < 4; ++i) {
    Report(80);
    Pass(milliseconds(250));
  }
  EXPECT_EQ(Fraction(), 0);
  EXPECT_GE(Tokens(), -60 * 5);
}

// Guards against requests that are charged twice or not at all when a node
// reports to another control VM and comes back, or replies are lost.
TEST_F(AllotmentLedgerTest, CountsAreChargedOnce) {
  Pass(seconds(3));
  const double full = Tokens();
  OnReport(ledger_, kNode, 1, ReportOf(10, 0), now_);
  OnReport(ledger_, kNode, 1, ReportOf(10, 0), now_);
  EXPECT_NEAR(Tokens(), full - 10, 0.1);
  // Another control VM has counted 10 to 25.
  OnReport(ledger_, kNode, 1, ReportOf(30, 25), now_);
  EXPECT_NEAR(Tokens(), full - 15, 0.1);
  // A new process counts from 0.
  OnReport(ledger_, kNode, 2, ReportOf(2, 0), now_);
  EXPECT_NEAR(Tokens(), full - 17, 0.1);
}

// Guards against the whole history of another control VM being charged at once.
TEST_F(AllotmentLedgerTest, FirstTotalsOfVmAreItsBaseline) {
  Pass(seconds(3));
  const double full = Tokens();
  Totals(5000);
  EXPECT_NEAR(Tokens(), full, 0.1);
  Totals(10);
  EXPECT_NEAR(Tokens(), full - 10, 0.1);
}

// Guards against two sides of a partition that each spend the whole allotment.
TEST_F(AllotmentLedgerTest, ShareOfSilentVmIsKept) {
  Pass(seconds(3));
  for (int i = 0; i < 20; ++i) {
    Report(5);
    Totals(5);
    Pass(milliseconds(250));
  }
  const double size = ledger_.organisations.at(kLarge).size;
  for (int i = 0; i < 4; ++i) {
    Report(5);
    Pass(milliseconds(250));
  }
  EXPECT_NEAR(ledger_.organisations.at(kLarge).available, 0.5, 0.1);
  EXPECT_NEAR(Tokens(), size / 2, size / 8);
  // What the other side has spent meanwhile was kept free for it.
  Advance(ledger_, now_);
  const double before = Tokens();
  Totals(10);
  EXPECT_NEAR(Tokens(), before, 0.1);
}

// Guards against a share that is kept for nodes which now report elsewhere: an
// organisation whose callers use one node would be refused for 10 s.
TEST_F(AllotmentLedgerTest, ShareOfMovedNodesIsReturned) {
  Pass(seconds(3));
  for (int i = 0; i < 20; ++i) {
    Totals(8);
    Pass(milliseconds(250));
  }
  const double size = ledger_.organisations.at(kLarge).size;
  Pass(seconds(1));
  EXPECT_LT(ledger_.organisations.at(kLarge).available, 0.2);
  SetMovedNodes(ledger_, {{kOtherVm, 1}});
  Pass(milliseconds(250));
  EXPECT_EQ(ledger_.organisations.at(kLarge).available, 1);
  EXPECT_NEAR(Tokens(), size, size / 4);
}

// Guards against a silent node whose share is spent by the others.
TEST_F(AllotmentLedgerTest, ShareOfSilentNodeIsCharged) {
  Pass(seconds(3));
  for (int i = 0; i < 20; ++i) {
    Report(10);
    Pass(milliseconds(250));
  }
  Pass(milliseconds(1500));
  const uint64_t own = ledger_.organisations.at(kLarge).own.admitted;
  EXPECT_GT(own, requests_ + 10);
  // Its own count is charged only where it is higher.
  Report(10);
  EXPECT_EQ(ledger_.organisations.at(kLarge).own.admitted, own);
  Pass(seconds(11));
  EXPECT_TRUE(ledger_.nodes.empty());
}

// Guards against a bucket that keeps the old burst when a limit is lowered.
TEST_F(AllotmentLedgerTest, LoweredLimitCutsTokens) {
  Pass(seconds(3));
  SetLimits(ledger_, {{kLarge, {5, 4}}}, 2, now_);
  EXPECT_LE(Tokens(), 4);
}

// Guards against a suspended control VM that takes all others for lost.
TEST_F(AllotmentLedgerTest, SuspensionIsTakenForStart) {
  Pass(seconds(3));
  Totals(5);
  Totals(5);
  now_ += seconds(5);
  Advance(ledger_, now_);
  EXPECT_EQ(ledger_.organisations.at(kLarge).available, 1);
  EXPECT_FALSE(MakeGrant(ledger_, {}, 1, now_));
}

}  // namespace
}  // namespace gooseberryrock::allotments
