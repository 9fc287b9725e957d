// Tests the decisions of an entry node on the allotments of organisations.

#include "gooseberryrock/allotments/node_allotments.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gooseberryrock::allotments {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr OrganisationHash kLarge = 1;
constexpr OrganisationHash kSmall = 2;
constexpr OrganisationHash kUnlimited = 3;
const Limits kLimits = {{kLarge, {63, 63}}, {kSmall, {0.35, 0.35}}};

class NodeAllotmentsTest : public testing::Test {
 protected:
  NodeAllotmentsTest() { SetLimits(node_, kLimits, now_); }

  void Grant(double fraction, double demand = 0) {
    AllotmentGrant grant;
    grant.nodes = 62;
    grant.organisations[kLarge] = {fraction, demand};
    ApplyGrant(node_, grant, now_);
  }

  // Sends requests, one each millisecond.
  int CountAdmitted(OrganisationHash organisation, int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      admitted += AdmitRequest(node_, organisation, now_).admitted ? 1 : 0;
      now_ += milliseconds(1);
    }
    return admitted;
  }

  SteadyTime now_{seconds(1000)};
  NodeAllotments node_ = MakeNodeAllotments({}, 7);
};

// Guards against limits on organisations that have none.
TEST_F(NodeAllotmentsTest, UnlimitedOrganisationsAreNotCounted) {
  EXPECT_EQ(CountAdmitted(kUnlimited, 2000), 2000);
  EXPECT_TRUE(MakeReport(node_).counts.empty());
}

// Guards against a flood through one node that passes until news of it arrives.
TEST_F(NodeAllotmentsTest, OneNodeNeverExceedsTheWholeAllotment) {
  Grant(1);
  EXPECT_LE(CountAdmitted(kLarge, 900), 63 + 30 + 57);
}

// Guards against a burst below 1 that refuses each request.
TEST_F(NodeAllotmentsTest, BurstBelowOneLetsSingleRequestsPass) {
  Grant(1);
  EXPECT_EQ(CountAdmitted(kSmall, 5), 5);
  NodeAllotments strict = MakeNodeAllotments({seconds(5), 0, 0}, 7);
  SetLimits(strict, kLimits, now_);
  ApplyGrant(strict, {}, now_);
  EXPECT_TRUE(AdmitRequest(strict, kSmall, now_).admitted);
  EXPECT_FALSE(AdmitRequest(strict, kSmall, now_).admitted);
}

// Guards against uneven admission, and against nodes that all admit their first
// request.
TEST_F(NodeAllotmentsTest, FractionIsAppliedEvenly) {
  Grant(0.25);
  const int admitted = CountAdmitted(kLarge, 200);
  EXPECT_NEAR(admitted, 50, 1);
  int first = 0;
  for (uint64_t seed = 0; seed < 400; ++seed) {
    NodeAllotments node = MakeNodeAllotments({}, seed);
    SetLimits(node, kLimits, now_);
    AllotmentGrant grant;
    grant.organisations[kLarge] = {0.25, 0};
    ApplyGrant(node, grant, now_);
    first += AdmitRequest(node, kLarge, now_).admitted ? 1 : 0;
  }
  EXPECT_NEAR(first, 100, 40);
}

// Guards against a partitioned node that goes on as if its grant were valid.
TEST_F(NodeAllotmentsTest, WithoutGrantTheNodeSpendsItsShare) {
  for (int i = 0; i < 20; ++i) {
    AdmitRequest(node_, kLarge, now_);
    now_ += milliseconds(500);
    Grant(1, 40);
  }
  now_ += kGrantLifetime;
  EXPECT_FALSE(HasGrant(node_, now_));
  // 2/s of 40/s: 1/20 of 63/s, halved each 5 s, and 1/20 of the bucket.
  EXPECT_LE(CountAdmitted(kLarge, 5000), 1 + 5 + 16);
  EXPECT_LE(CountAdmitted(kLarge, 5000), 8);
}

// Guards against a node that starts while control VMs are lost and refuses an
// organisation that it has not heard of.
TEST_F(NodeAllotmentsTest, FirstRequestPassesWithoutGrant) {
  EXPECT_TRUE(AdmitRequest(node_, kSmall, now_).admitted);
  const AllotmentDecision second = AdmitRequest(node_, kSmall, now_);
  EXPECT_FALSE(second.admitted);
  EXPECT_GE(second.retry_after, milliseconds(200));
  EXPECT_LE(second.retry_after, seconds(10));
}

// Guards against a bucket that keeps the old burst when a limit is lowered.
TEST_F(NodeAllotmentsTest, LoweredLimitCutsTokens) {
  Grant(1);
  SetLimits(node_, {{kLarge, {5, 5}}}, now_);
  EXPECT_LE(CountAdmitted(kLarge, 1000), 5 + 5);
}

// Guards against lost and repeated acknowledgements that lose or repeat counts.
TEST_F(NodeAllotmentsTest, ReportsRepeatCountsUntilAcknowledged) {
  Grant(1);
  CountAdmitted(kLarge, 3);
  const AllotmentReport first = MakeReport(node_);
  CountAdmitted(kLarge, 2);
  const AllotmentReport second = MakeReport(node_);
  EXPECT_EQ(second.counts.at(kLarge).now.arrivals, 5U);
  EXPECT_EQ(second.counts.at(kLarge).acknowledged.arrivals, 0U);
  AcknowledgeReport(node_, first.number);
  EXPECT_EQ(MakeReport(node_).counts.at(kLarge).acknowledged.arrivals, 3U);
  AcknowledgeReport(node_, second.number);
  AcknowledgeReport(node_, first.number);
  EXPECT_TRUE(MakeReport(node_).counts.empty());
}

}  // namespace
}  // namespace gooseberryrock::allotments
