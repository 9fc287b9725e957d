// Tests the decisions about connections of callers outside our control.

#include "gooseberryrock/transport/caller_limits.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <vector>

namespace gooseberryrock::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kKiB = 1024;

// Guards against refusals while there is room.
TEST(CallerLimitsTest, NobodyIsRefusedBelowTheLimit) {
  EXPECT_EQ(ChooseToRefuse({}, kKiB), std::nullopt);
  EXPECT_EQ(ChooseToRefuse({{256 * kKiB, seconds(9), "a"}}, 1024 * kKiB),
            std::nullopt);
}

// Guards against a crowd of bodies that stop short: the one with the greatest
// product of size and age gives way, not the caller that comes last.
TEST(CallerLimitsTest, GreatestProductOfSizeAndAgeGivesWay) {
  const std::vector<ConnectionUse> uses = {{400 * kKiB, seconds(1), "a"},
                                           {300 * kKiB, seconds(2), "a"},
                                           {300 * kKiB, milliseconds(1), "b"}};
  EXPECT_EQ(ChooseToRefuse(uses, 1024 * kKiB), 1U);
}

// Guards against a crowd of old heads that takes the share of ordinary callers:
// it gives way although the limit is not reached.
TEST(CallerLimitsTest, CrowdLeavesAShareToOrdinaryCallers) {
  std::vector<ConnectionUse> uses(80, {10 * kKiB, seconds(2), "a"});
  EXPECT_NE(ChooseToRefuse(uses, 1024 * kKiB), std::nullopt);
  std::vector<ConnectionUse> ordinary(80, {10 * kKiB, milliseconds(100), "a"});
  EXPECT_EQ(ChooseToRefuse(ordinary, 1024 * kKiB), std::nullopt);
}

// Guards against idle connections that keep out new callers.
TEST(CallerLimitsTest, LongestIdleConnectionIsClosed) {
  const std::vector<ConnectionUse> uses = {
      {0, seconds(3), "a"}, {0, seconds(9), "b"}, {0, milliseconds(0), "c"}};
  EXPECT_EQ(ChooseToClose(uses, {3, 0}, 2), std::nullopt);
  EXPECT_EQ(ChooseToClose(uses, {2, 0}, 2), 1U);
}

// Guards against one address that takes the connections of the others.
TEST(CallerLimitsTest, AddressAboveItsLimitLosesItsOwnConnection) {
  const std::vector<ConnectionUse> uses = {{0, seconds(9), "b"},
                                           {0, seconds(1), "a"},
                                           {20 * kKiB, seconds(1), "a"},
                                           {0, milliseconds(0), "a"}};
  EXPECT_EQ(ChooseToClose(uses, {10, 2}, 3), 2U);
  EXPECT_EQ(ChooseToClose(uses, {10, 3}, 3), std::nullopt);
}

// Guards against bodies that hold memory for the whole time limit, and against
// refusing a body that pauses for less than the grace period.
TEST(CallerLimitsTest, BodyIsTooSlowAfterTheGracePeriod) {
  const MinRate rate = {seconds(5), 1000};
  EXPECT_FALSE(IsTooSlow(0, seconds(5), rate));
  EXPECT_TRUE(IsTooSlow(999, seconds(6), rate));
  EXPECT_FALSE(IsTooSlow(1000, seconds(6), rate));
}

// Guards against callers that take the descriptors of servers.
TEST(CallerLimitsTest, DescriptorsAreKeptForServers) {
  const ConnectionLimits limits = DeriveConnectionLimits(4100, {});
  EXPECT_EQ(limits.total, 3011U);
  EXPECT_EQ(limits.per_address, 2635U);
  EXPECT_EQ(DeriveConnectionLimits(4100, {100, 7}).total, 100U);
  EXPECT_EQ(DeriveConnectionLimits(4100, {100, 7}).per_address, 7U);
  EXPECT_EQ(DeriveConnectionLimits(16, {}).total, 1U);
}

}  // namespace
}  // namespace gooseberryrock::transport
