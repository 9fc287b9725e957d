// Tests which part of the work leaves a failure domain.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

#include "gooseberryrock/relay/domain_crossing.h"
#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

class DomainCrossingTest : public testing::Test {
 protected:
  DomainCrossingTest() { crossing_.updated_at = kStart; }

  void Update(Duration own, Duration other, SteadyTime now) {
    UpdateCrossing(crossing_, own, other, Ms(15), Ms(150), now);
  }

  DomainCrossing crossing_;
};

// Guards against work that leaves a domain whose servers have room.
TEST_F(DomainCrossingTest, NothingLeavesWhileOwnServersAreCheaper) {
  for (int64_t i = 1; i < 100; ++i) {
    Update(Ms(20), Ms(26), kStart + Ms(10 * i));
    EXPECT_EQ(crossing_.share, 0);
  }
}

// Guards against all work leaving a domain that lacks a part of it.
TEST_F(DomainCrossingTest, ShareFollowsWhatIsLacking) {
  for (int64_t i = 1; i < 200; ++i) {
    Update(Ms(30), Ms(28), kStart + Ms(10 * i));
  }
  EXPECT_NEAR(crossing_.share, 2 / 7.5, 0.01);
  for (int64_t i = 200; i < 400; ++i) {
    Update(Ms(90), Ms(25), kStart + Ms(10 * i));
  }
  EXPECT_NEAR(crossing_.share, 1, 0.01);
}

// Guards against work that swings between two domains with each report: costs
// that change sides every 20 ms move a share of half that hardly changes.
TEST_F(DomainCrossingTest, AlternatingCostsAreDamped) {
  double least = 1;
  double most = 0;
  for (int64_t i = 1; i < 400; ++i) {
    const bool own_is_full = i / 2 % 2 == 0;
    Update(own_is_full ? Ms(60) : Ms(10), Ms(30), kStart + Ms(10 * i));
    if (i > 200) {
      least = std::min(least, crossing_.share);
      most = std::max(most, crossing_.share);
    }
  }
  EXPECT_GT(least, 0.4);
  EXPECT_LT(most, 0.6);
}

}  // namespace
}  // namespace gooseberryrock::relay
