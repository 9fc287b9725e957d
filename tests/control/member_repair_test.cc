// Tests of the automatic membership repair.

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "gooseberryrock/control/member_repair.h"
#include "gooseberryrock/control/membership_view.h"

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
    return NextRepair(
        {kSelf, membership_, caught_up_, contacts_, listening_since_, kNow},
        policy_);
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

  // Expects the next change, and applies it.
  void ExpectNext(MembershipAction action, const std::string& node) {
    const auto change = Next();
    ASSERT_TRUE(change);
    EXPECT_EQ(change->action, action);
    EXPECT_EQ(change->node.value, node);
    Apply(*change);
  }

  const RepairPolicy policy_ = MakeRepairPolicy(1, seconds(4));
  Membership membership_;
  std::map<NodeId, VmContact> contacts_;
  std::set<NodeId> caught_up_ = {{"b"}, {"c"}, {"d"}};
  SteadyTime listening_since_ = kNow - std::chrono::minutes(1);
};

// Guards against unnecessary changes of a healthy membership.
TEST_F(MemberRepairTest, HealthyMembershipIsUnchanged) {
  EXPECT_FALSE(Next());
}

// Guards against a VM with an empty disk that remains without a vote until an
// operator intervenes: the loss of another VM would then stop the log.
TEST_F(MemberRepairTest, EmptyDiskBecomesAVoterAgain) {
  contacts_[{"c"}].storage_id = "new";
  ExpectNext(MembershipAction::kRemove, "c");
  ExpectNext(MembershipAction::kAddLearner, "c");
  ExpectNext(MembershipAction::kPromote, "c");
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
  ExpectNext(MembershipAction::kAddLearner, "d");
  ExpectNext(MembershipAction::kPromote, "d");
  ExpectNext(MembershipAction::kRemove, "c");
  EXPECT_FALSE(Next());
}

// Guards against a lost VM that keeps its vote for longer than a deployment
// allows for its replacement.
TEST_F(MemberRepairTest, VoteIsHandedOverWithinTheReplacementTime) {
  const RepairPolicy policy = MakeRepairPolicy(1, seconds(4));
  EXPECT_LT(policy.voter_timeout + 2 * policy.check_interval, seconds(4));
  membership_.members[{"d"}] = {"disk-d", "d", false};
  contacts_[{"d"}] = {"disk-d", kNow};
  contacts_[{"c"}].last_contact = kNow - policy.voter_timeout;
  const auto change = Next();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->action, MembershipAction::kPromote);
}

// Guards against a leader that takes others for lost because it was itself
// suspended, or has just started.
TEST_F(MemberRepairTest, SilenceBeforeListeningDoesNotCount) {
  membership_.members[{"d"}] = {"disk-d", "d", false};
  contacts_[{"d"}] = {"disk-d", kNow};
  contacts_[{"c"}].last_contact = kNow - seconds(20);
  listening_since_ = kNow - seconds(1);
  EXPECT_FALSE(Next());
}

// Guards against a vote that is handed to a VM without the entries: the log
// would wait for it.
TEST_F(MemberRepairTest, LearnerThatLagsIsNotPromoted) {
  membership_.members[{"d"}] = {"disk-d", "d", false};
  contacts_[{"d"}] = {"disk-d", kNow};
  contacts_[{"c"}].last_contact = kNow - seconds(20);
  caught_up_.erase({"d"});
  EXPECT_FALSE(Next());
}

// Guards against a VM that shuts down with its vote although another one could
// take it, and against one that is added again while it shuts down.
TEST_F(MemberRepairTest, LeavingVmHandsOverItsVote) {
  contacts_[{"c"}].leaving = true;
  EXPECT_FALSE(Next());
  membership_.members[{"d"}] = {"disk-d", "d", false};
  contacts_[{"d"}] = {"disk-d", kNow};
  ExpectNext(MembershipAction::kPromote, "d");
  ExpectNext(MembershipAction::kRemove, "c");
  EXPECT_FALSE(Next());
}

// Guards against an even number of voters that stays: the lost VM came back
// between the promotion of its successor and its own removal.
TEST_F(MemberRepairTest, SurplusVoterBecomesALearnerAgain) {
  membership_.members[{"d"}] = {"disk-d", "d", true};
  contacts_[{"d"}] = {"disk-d", kNow};
  const auto change = Next();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->action, MembershipAction::kRemove);
  EXPECT_EQ(change->node.value, "d");
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
