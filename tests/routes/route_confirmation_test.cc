// Tests how long a node may rely on the routes that it follows.

#include "gooseberryrock/routes/route_confirmation.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gooseberryrock::routes {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLifetime = milliseconds(4500);
const SteadyTime kStart = SteadyTime() + std::chrono::hours(1);

// Guards against a node that serves keys although it has heard nothing for
// longer than the lifetime: it was cut off or suspended.
TEST(RouteConfirmationTest, ExpiresWithoutFurtherConfirmation) {
  FollowedRoutes routes;
  Follow(routes, 5);
  EXPECT_FALSE(IsConfirmed(routes, kLifetime, kStart));
  RecordConfirmation(routes, {5, kStart});
  EXPECT_TRUE(IsConfirmed(routes, kLifetime, kStart + milliseconds(4499)));
  EXPECT_FALSE(IsConfirmed(routes, kLifetime, kStart + kLifetime));
  RecordConfirmation(routes, {5, kStart + milliseconds(300)});
  EXPECT_TRUE(IsConfirmed(routes, kLifetime, kStart + kLifetime));
}

// Guards against old routes that are confirmed by the mention of newer ones:
// they wait until the other nodes have the newer ones too.
TEST(RouteConfirmationTest, NewerVersionDoesNotConfirmOlderRoutes) {
  FollowedRoutes routes;
  Follow(routes, 5);
  RecordConfirmation(routes, {5, kStart});
  RecordConfirmation(routes, {6, kStart + milliseconds(2000)});
  EXPECT_TRUE(IsConfirmed(routes, kLifetime, kStart + milliseconds(4000)));
  EXPECT_FALSE(IsConfirmed(routes, kLifetime, kStart + milliseconds(4600)));
  Follow(routes, 6);
  EXPECT_TRUE(IsConfirmed(routes, kLifetime, kStart + milliseconds(4600)));
}

// Guards against a confirmation of an earlier time that extends a later one,
// as when control VMs are asked in turn and one of them has old answers.
TEST(RouteConfirmationTest, EarlierConfirmationChangesNothing) {
  FollowedRoutes routes;
  Follow(routes, 6);
  RecordConfirmation(routes, {6, kStart});
  RecordConfirmation(routes, {5, kStart - milliseconds(1)});
  RecordConfirmation(routes, {0, kStart + milliseconds(1)});
  EXPECT_EQ(routes.last.version, 6U);
  EXPECT_EQ(routes.confirmed_at, kStart);
  Follow(routes, 7);
  EXPECT_EQ(routes.confirmed_at, kStart);
}

// Guards against a chain of control VMs that makes an answer look newer than
// the question to the leader, whatever the delays and clocks of the VMs are.
TEST(RouteConfirmationTest, AgesAddUpOverAnyNumberOfVms) {
  // The leader is asked at 0 ms of true time. Each VM has its own clock.
  const milliseconds clock_offsets[] = {milliseconds(0), milliseconds(70'000),
                                        milliseconds(-9'000)};
  SteadyTime confirmed_at = kStart + clock_offsets[0];
  milliseconds now(0);
  for (size_t i = 1; i < std::size(clock_offsets); ++i) {
    const milliseconds asked = now + milliseconds(40);
    const milliseconds answered = asked + milliseconds(30);
    const Duration age =
        kStart + clock_offsets[i - 1] + answered - confirmed_at;
    confirmed_at = ConfirmedAt(kStart + clock_offsets[i] + asked, age);
    EXPECT_LE(confirmed_at, kStart + clock_offsets[i]);
    now = answered + milliseconds(25);
  }
  EXPECT_EQ(ConfirmedAt(kStart, milliseconds(-5)), kStart);
}

// Guards against a change for deployments without the bound.
TEST(RouteConfirmationTest, ZeroLifetimeNeedsNoConfirmation) {
  EXPECT_TRUE(IsConfirmed(FollowedRoutes(), Duration::zero(), kStart));
}

}  // namespace
}  // namespace gooseberryrock::routes
