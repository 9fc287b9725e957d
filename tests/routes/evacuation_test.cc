// Orders to evacuate failure domains.

#include "gooseberryrock/routes/evacuation.h"

#include <gtest/gtest.h>

#include <string>

namespace gooseberryrock::routes {
namespace {

constexpr auto kStart = EvacuationAction::kStart;
constexpr auto kFinish = EvacuationAction::kFinish;

// An order that is given now.
EvacuationResult Give(EvacuatedDomains& evacuated,
                      const std::string& domain,
                      EvacuationAction action) {
  return ApplyOrder(evacuated, {{domain}, action, evacuated.orders});
}

// Guards against an order that is repeated and refused, or that makes all nodes
// take over a set that did not change.
TEST(EvacuationTest, SameOrderIsAcknowledgedWithoutEffect) {
  EvacuatedDomains evacuated;
  EXPECT_EQ(Give(evacuated, "a", kStart), EvacuationResult::kApplied);
  EXPECT_EQ(Give(evacuated, "a", kStart), EvacuationResult::kApplied);
  EXPECT_EQ(evacuated.version, 1U);
  EXPECT_TRUE(IsEvacuated(evacuated, {"a"}));
  EXPECT_FALSE(IsEvacuated(evacuated, {"b"}));
  EXPECT_EQ(Give(evacuated, "a", kFinish), EvacuationResult::kApplied);
  EXPECT_EQ(Give(evacuated, "a", kFinish), EvacuationResult::kApplied);
  EXPECT_EQ(evacuated.version, 2U);
  EXPECT_FALSE(IsEvacuated(evacuated, {"a"}));
}

// Guards against a delayed `start` that takes effect after `finish` was
// acknowledged, also if that `finish` itself changed nothing.
TEST(EvacuationTest, DelayedOrderDoesNotUndoLaterOnes) {
  EvacuatedDomains evacuated;
  const EvacuationOrder delayed = {{"a"}, kStart, evacuated.orders};
  EXPECT_EQ(Give(evacuated, "a", kFinish), EvacuationResult::kApplied);
  EXPECT_EQ(ApplyOrder(evacuated, delayed), EvacuationResult::kOvertaken);
  EXPECT_EQ(evacuated.version, 0U);
  EXPECT_FALSE(IsEvacuated(evacuated, {"a"}));
}

// Guards against a node that falls back to an older set because it asked a
// control VM that is behind.
TEST(EvacuationTest, OlderSetIsNotFollowed) {
  EvacuatedDomains older;
  Give(older, "a", kStart);
  EvacuatedDomains newer = older;
  Give(newer, "a", kFinish);
  EvacuatedDomains followed;
  EXPECT_TRUE(FollowNewer(followed, newer));
  EXPECT_FALSE(FollowNewer(followed, older));
  EXPECT_FALSE(FollowNewer(followed, newer));
  EXPECT_EQ(followed, newer);
}

// Guards against polls that grow without bound with misspelt names. An order
// that holds is acknowledged all the same, and so is a `finish`.
TEST(EvacuationTest, NumberOfDomainsIsLimited) {
  EvacuatedDomains evacuated;
  for (size_t i = 0; i < kMaxEvacuatedDomains; ++i) {
    EXPECT_EQ(Give(evacuated, std::to_string(i), kStart),
              EvacuationResult::kApplied);
  }
  EXPECT_EQ(Give(evacuated, "more", kStart), EvacuationResult::kTooManyDomains);
  EXPECT_EQ(Give(evacuated, "0", kStart), EvacuationResult::kApplied);
  EXPECT_EQ(Give(evacuated, "0", kFinish), EvacuationResult::kApplied);
  EXPECT_EQ(Give(evacuated, "more", kStart), EvacuationResult::kApplied);
}

}  // namespace
}  // namespace gooseberryrock::routes
