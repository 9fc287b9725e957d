// Tests of the report on missing voters.

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

#include "gooseberryrock/control/member_repair.h"
#include "gooseberryrock/control/membership_view.h"
#include "gooseberryrock/control/voter_health.h"

namespace gooseberryrock::control {
namespace {

constexpr SteadyTime kNow = SteadyTime(std::chrono::hours(1));

class VoterHealthTest : public testing::Test {
 protected:
  VoterHealthTest() {
    for (const char* it : {"a", "b", "c", "d"}) {
      membership_.members[{it}] = {std::string("disk-") + it, it,
                                   std::string(it) != "d"};
      contacts_[{it}] = {std::string("disk-") + it, kNow};
    }
    contacts_.erase({"a"});
  }

  VoterHealth Assess() const {
    return AssessVoters({{"a"}, membership_, {}, contacts_, {}, kNow},
                        RepairPolicy());
  }

  consensus::Membership membership_;
  std::map<NodeId, VmContact> contacts_;
};

// Guards against a learner that is reported as if it could replace a voter in a
// majority.
TEST_F(VoterHealthTest, LearnersDoNotCount) {
  const VoterHealth health = Assess();
  EXPECT_EQ(CountPresent(health), 3U);
  EXPECT_EQ(health.present_learners, 1U);
  EXPECT_EQ(ToleratedLosses(health), 1);
  EXPECT_EQ(MissingVoters(health), "");
}

// Guards against a first loss that no operator sees: it costs nothing until the
// second one stops the log.
TEST_F(VoterHealthTest, LostVotersAreNamedWithTheReason) {
  contacts_[{"c"}].last_contact = kNow - std::chrono::seconds(5);
  EXPECT_EQ(ToleratedLosses(Assess()), 0);
  EXPECT_EQ(MissingVoters(Assess()), "c:silent");
  contacts_[{"b"}].storage_id = "new";
  EXPECT_EQ(ToleratedLosses(Assess()), -1);
  EXPECT_EQ(MissingVoters(Assess()), "b:other_disk,c:silent");
}

}  // namespace
}  // namespace gooseberryrock::control
