// Tests how requests end at a node that stops.

#include "gooseberryrock/relay/stop_time.h"

#include <gtest/gtest.h>

#include <variant>

#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

// Guards against taking a request late in the stop time that may not be
// repeated: it would be cut off with an unknown outcome.
TEST(StopTimeTest, LateRequestThatMayNotBeRepeatedIsRefused) {
  const SteadyTime answer_by = kStart + Ms(5300);
  EXPECT_TRUE(FitsBefore(answer_by, SingleRoute(false), kStart + Ms(3000)));
  EXPECT_FALSE(FitsBefore(answer_by, SingleRoute(false), kStart + Ms(4000)));
  EXPECT_TRUE(FitsBefore(answer_by, SingleRoute(true), kStart + Ms(4000)));
  EXPECT_FALSE(FitsBefore(answer_by, SingleRoute(true), kStart + Ms(5000)));
}

// Guards against cutting off a request that waits for a server at the end of
// the stop time: its caller gets an answer that the outcome is unknown.
TEST(StopTimeTest, RequestInFlightIsAnsweredBeforeTheEnd) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(false));
  it.Send(start);
  AnswerBy(it.state, kStart + Ms(2000));
  const auto before = OnRequestTimer(it.state, it.Context(), kStart + Ms(1999));
  EXPECT_FALSE(before.outcome);
  ASSERT_TRUE(before.next_timer);
  EXPECT_LE(*before.next_timer, kStart + Ms(2000));
  const auto end = OnRequestTimer(it.state, it.Context(), kStart + Ms(2000));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<FailedOutcome>(*end.outcome).reason,
            FailureReason::kTimeout);
}

}  // namespace
}  // namespace gooseberryrock::relay
