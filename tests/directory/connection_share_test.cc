// Tests the division of connection limits with random reservations.

#include "gooseberryrock/directory/connection_share.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
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

// Guards against shares that exceed the limit or do not use it up, and against
// nodes without a connection although the limit allows one for each.
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

// Guards against nodes that cannot use any server of a service, and against an
// exceeded limit, if there are more nodes than connections to a server: 23 + 24
// + 20 + 18 nodes and limits of 74.
TEST(ConnectionShareTest, ScarceConnectionsOmitDifferentPlaces) {
  const Reservation reservation = {
      {{"a"}, 23}, {{"b"}, 24}, {{"c"}, 20}, {{"d"}, 18}};
  constexpr uint32_t kLimit = 74;
  std::mt19937_64 rng(1);
  std::map<std::pair<std::string, uint32_t>, int> without;
  constexpr int kServers = 200;
  for (int n = 0; n < kServers; ++n) {
    const uint64_t rotation = rng();
    uint32_t sum = 0;
    for (const auto& [domain, nodes] : reservation) {
      for (uint32_t i = 0; i < nodes; ++i) {
        const uint32_t share = ConnectionShare(
            kLimit, reservation, kServerDomain, {domain, i}, rotation);
        sum += share;
        ASSERT_TRUE(share == 1 || domain != kServerDomain);
        without[{domain.value, i}] += share == 0 ? 1 : 0;
      }
    }
    ASSERT_EQ(sum, kLimit);
  }
  // Each server omits 11 of the 61 places outside its domain, 18%.
  for (const auto& [place, n] : without) {
    EXPECT_LT(n, kServers * 0.35) << place.first << place.second;
  }
}

// A deployment of seven nodes in three failure domains.
TEST(ConnectionShareTest, SevenNodesInThreeDomains) {
  const Shares shares = AllShares(100, {{{"a"}, 2}, {{"b"}, 3}, {{"c"}, 2}});
  EXPECT_EQ(shares.inside, (std::vector<uint32_t>{22, 22, 21}));
  EXPECT_EQ(shares.outside, (std::vector<uint32_t>{9, 9, 9, 8}));
}

}  // namespace
}  // namespace gooseberryrock::directory
