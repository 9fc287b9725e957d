// Division of connection limits, over generated reservations.

#include "gooseberryrock/directory/connection_share.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

namespace gooseberryrock::directory {
namespace {

const FailureDomain kServerDomain{"b"};

struct Shares {
  std::vector<uint32_t> inside;
  std::vector<uint32_t> outside;
  uint64_t sum = 0;
};

Shares AllShares(uint32_t limit, const Reservation& reservation) {
  Shares shares;
  for (const auto& [domain, n] : reservation) {
    for (uint32_t i = 0; i < n; ++i) {
      const uint32_t share =
          ConnectionShare(limit, reservation, kServerDomain, {domain, i});
      (domain == kServerDomain ? shares.inside : shares.outside)
          .push_back(share);
      shares.sum += share;
    }
  }
  return shares;
}

// Guards against a server that is flooded or left unused, and against nodes
// without any connection while there is one for each.
TEST(ConnectionShareTest, HoldsForGeneratedReservations) {
  std::mt19937_64 rng(1);
  for (int n = 0; n < 20000; ++n) {
    Reservation reservation;
    for (const std::string domain : {"a", "b", "c", "d", "e"}) {
      if (rng() % 4 != 0) {
        reservation[{domain}] = rng() % 12;
      }
    }
    const uint32_t limit = rng() % 200;
    const Shares shares = AllShares(limit, reservation);
    const size_t places = shares.inside.size() + shares.outside.size();
    ASSERT_EQ(shares.sum, places == 0 ? 0 : limit);
    if (places == 0 || limit < places) {
      continue;
    }
    const auto [in_min, in_max] =
        std::minmax_element(shares.inside.begin(), shares.inside.end());
    const auto [out_min, out_max] =
        std::minmax_element(shares.outside.begin(), shares.outside.end());
    if (!shares.inside.empty()) {
      ASSERT_GE(*in_min, 1U);
      ASSERT_LE(*in_max - *in_min, 1U);
    }
    if (!shares.outside.empty()) {
      ASSERT_GE(*out_min, 1U);
      ASSERT_LE(*out_max - *out_min, 1U);
    }
    if (!shares.inside.empty() && !shares.outside.empty()) {
      ASSERT_GE(*in_max, *out_max);
    }
  }
  std::printf("reservations=20000 seed=1\n");
}

// Today's till reports: seven nodes over three failure domains.
TEST(ConnectionShareTest, ServesTodaysSizes) {
  const Shares shares = AllShares(100, {{{"a"}, 2}, {{"b"}, 3}, {{"c"}, 2}});
  EXPECT_EQ(shares.inside, (std::vector<uint32_t>{22, 22, 21}));
  EXPECT_EQ(shares.outside, (std::vector<uint32_t>{9, 9, 9, 8}));
}

}  // namespace
}  // namespace gooseberryrock::directory
