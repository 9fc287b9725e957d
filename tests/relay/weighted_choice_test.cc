// Tests the distribution of requests by weight.

#include <gtest/gtest.h>

#include <array>

#include "gooseberryrock/relay/weighted_choice.h"
#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::relay {
namespace {

// Guards against a deviation from the configured shares, even over few
// requests.
TEST(WeightedChoiceTest, EachServiceIsWithinOneOfItsShare) {
  const routes::WeightedTarget target{{{{"a"}, 5}, {{"b"}, 3}, {{"c"}, 0}}};
  WeightedCredits credits;
  std::array<int, 3> chosen{};
  for (int n = 1; n <= 400; ++n) {
    ++chosen[ChooseWeighted(target, credits)];
    EXPECT_NEAR(chosen[0], n * 5 / 8.0, 1);
    EXPECT_NEAR(chosen[1], n * 3 / 8.0, 1);
    EXPECT_EQ(chosen[2], 0);
  }
}

}  // namespace
}  // namespace gooseberryrock::relay
