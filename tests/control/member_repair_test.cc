// Tests of the automatic membership repair.

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
      contacts_[{it}] = {std::string("disk-") + it, kNow};
    }
    contacts_.erase(kSelf);
  }

  std::optional<consensus::MembershipChange> Next() const {
    return NextRepair(kSelf, membership_, contacts_, RepairPolicy(), kNow);
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
  std::map<NodeId, VmContact> contacts_;
};

// Guards against unnecessary changes of a healthy membership.
TEST_F(MemberRepairTest, HealthyMembershipIsUnchanged) {
  EXPECT_FALSE(Next());
}

// Guards against a VM with an empty disk that remains without a vote until an
// operator intervenes: the loss of another VM would then stop the log.
TEST_F(MemberRepairTest, EmptyDiskBecomesAVoterAgain) {
  contacts_[{"c"}].storage_id = "new";
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

// Guards against a removal that leaves no present majority of voters.
TEST_F(MemberRepairTest, EmptyDiskWaitsForTheOtherVoter) {
  contacts_[{"c"}].storage_id = "new";
  contacts_[{"b"}].last_contact = kNow - seconds(2);
  EXPECT_FALSE(Next());
}

// Guards against removing a voter that is only temporarily unreachable.
TEST_F(MemberRepairTest, AbsentVoterKeepsItsVoteWithoutAReplacement) {
  contacts_[{"c"}].last_contact = kNow - seconds(60);
  EXPECT_FALSE(Next());
}

// Guards against a VM at a new address that never replaces a lost VM.
TEST_F(MemberRepairTest, NewVmReplacesALostOne) {
  contacts_[{"c"}].last_contact = kNow - seconds(20);
  contacts_[{"d"}] = {"disk-d", kNow};
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

// Guards against more voters than the target: each additional voter increases
// the quorum.
TEST_F(MemberRepairTest, AddedVmStaysALearner) {
  contacts_[{"d"}] = {"disk-d", kNow};
  const auto change = Next();
  ASSERT_TRUE(change);
  Apply(*change);
  EXPECT_FALSE(Next());
  EXPECT_FALSE(membership_.members.at({"d"}).voter);
}

}  // namespace
}  // namespace gooseberryrock::control
