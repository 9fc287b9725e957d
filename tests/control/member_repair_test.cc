// Changes of the membership without an operator.

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "gooseberryrock/control/member_repair.h"

namespace gooseberryrock::control {
namespace {

using consensus::Membership;
using consensus::MembershipAction;
using std::chrono::seconds;

constexpr SteadyTime kNow = SteadyTime(std::chrono::hours(1));
const NodeId kSelf{"a"};

class MemberRepairTest : public testing::Test {
 protected:
  MemberRepairTest() {
    for (const char* it : {"a", "b", "c"}) {
      membership_.members[{it}] = {std::string("disk-") + it, it, true};
      heard_[{it}] = {std::string("disk-") + it, kNow};
    }
    heard_.erase(kSelf);
  }

  std::optional<consensus::MembershipChange> Next() const {
    return NextRepair(kSelf, membership_, heard_, RepairPolicy(), kNow);
  }

  void Apply(const consensus::MembershipChange& change) {
    switch (change.action) {
      case MembershipAction::kAddLearner:
        membership_.members[change.node] = {change.storage_id,
                                            change.peer_address, false};
        break;
      case MembershipAction::kPromote:
        membership_.members.at(change.node).voter = true;
        break;
      case MembershipAction::kRemove:
        membership_.members.erase(change.node);
        break;
    }
  }

  Membership membership_;
  std::map<NodeId, HeardVm> heard_;
};

// Guards against changes of a membership that is as it should be.
TEST_F(MemberRepairTest, SoundMembershipStays) {
  EXPECT_FALSE(Next());
}

// Guards against a VM with an empty disk that stays without a vote until an
// operator comes, so that the next loss stops the log.
TEST_F(MemberRepairTest, EmptyDiskBecomesAVoterAgain) {
  heard_[{"c"}].storage_id = "new";
  const MembershipAction expected[] = {MembershipAction::kRemove,
                                       MembershipAction::kAddLearner,
                                       MembershipAction::kPromote};
  for (const MembershipAction it : expected) {
    const auto change = Next();
    ASSERT_TRUE(change);
    EXPECT_EQ(change->action, it);
    EXPECT_EQ(change->node.value, "c");
    Apply(*change);
  }
  EXPECT_FALSE(Next());
  EXPECT_EQ(membership_.members.at({"c"}).storage_id, "new");
}

// Guards against a removal that leaves voters that cannot commit anything.
TEST_F(MemberRepairTest, EmptyDiskWaitsForTheOtherVoter) {
  heard_[{"c"}].storage_id = "new";
  heard_[{"b"}].heard_at = kNow - seconds(2);
  EXPECT_FALSE(Next());
}

// Guards against a VM that is cut off for some seconds and loses its vote.
TEST_F(MemberRepairTest, AbsentVoterKeepsItsVoteWithoutAReplacement) {
  heard_[{"c"}].heard_at = kNow - seconds(60);
  EXPECT_FALSE(Next());
}

// Guards against a VM at a new address that never replaces the lost one.
TEST_F(MemberRepairTest, NewVmReplacesALostOne) {
  heard_[{"c"}].heard_at = kNow - seconds(20);
  heard_[{"d"}] = {"disk-d", kNow};
  auto change = Next();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->action, MembershipAction::kAddLearner);
  EXPECT_EQ(change->node.value, "d");
  Apply(*change);
  change = Next();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->action, MembershipAction::kRemove);
  EXPECT_EQ(change->node.value, "c");
  Apply(*change);
  change = Next();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->action, MembershipAction::kPromote);
}

// Guards against more voters than wanted: each one more has to be asked.
TEST_F(MemberRepairTest, AddedVmStaysALearner) {
  heard_[{"d"}] = {"disk-d", kNow};
  const auto change = Next();
  ASSERT_TRUE(change);
  Apply(*change);
  EXPECT_FALSE(Next());
  EXPECT_FALSE(membership_.members.at({"d"}).voter);
}

}  // namespace
}  // namespace gooseberryrock::control
