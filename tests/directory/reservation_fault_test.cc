// Tests connection shares while reservations change and nodes join, restart and
// lose contact.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/directory/reservation_history.h"

namespace gooseberryrock::directory {
namespace {

struct Member {
  ReservedPlace place;
  bool joined = false;
  bool cut = false;
  ReservationHistory history;
};

// The leader, with the version in force at each joined node.
struct Leader {
  ReservationStep reservation{1, {{{"a"}, 2}, {{"b"}, 2}, {{"c"}, 1}}};
  uint64_t catalog_version = 1;
  std::map<size_t, uint64_t> in_force;

  uint64_t InForceEverywhere() const {
    uint64_t lowest = catalog_version;
    for (const auto& [member, version] : in_force) {
      lowest = std::min(lowest, version);
    }
    return lowest;
  }
};

class ReservationFaultTest : public testing::Test {
 protected:
  ReservationFaultTest() {
    for (const std::string domain : {"a", "b", "c"}) {
      for (uint32_t position = 0; position < 5; ++position) {
        members_.push_back({{{domain}, position}, position < 2, false, {}});
      }
    }
  }

  void ChangeReservation() {
    if (!MayChangeReservation(leader_.reservation.version,
                              leader_.InForceEverywhere())) {
      return;
    }
    leader_.reservation.version = ++leader_.catalog_version;
    for (const std::string domain : {"a", "b", "c"}) {
      leader_.reservation.reservation[{domain}] = rng_() % 6;
    }
  }

  // Simulates one poll; the request or the reply may be lost.
  void Poll(size_t index) {
    Member& member = members_[index];
    if (!member.joined || member.cut || rng_() % 5 == 0) {
      return;
    }
    const auto& steps = member.history.steps;
    if (!steps.empty()) {
      leader_.in_force[index] = steps.back().version;
    }
    const uint64_t everywhere = leader_.InForceEverywhere();
    const bool registered = !steps.empty();
    if (rng_() % 5 == 0) {
      return;
    }
    // `everywhere` does not include a node that has not reported yet.
    if (registered) {
      OnInForceEverywhere(member.history, everywhere);
    }
    PutReservation(member.history, leader_.reservation);
  }

  void Step() {
    const size_t index = rng_() % members_.size();
    switch (rng_() % 40) {
      case 0:
        ChangeReservation();
        break;
      case 1:
        // A node joins, or an existing one restarts and loses its state.
        members_[index].joined = true;
        members_[index].history = {};
        break;
      case 2:
        members_[index].cut = !members_[index].cut;
        break;
      default:
        Poll(index);
    }
  }

  uint64_t Sum(uint32_t limit, const FailureDomain& server_domain) const {
    uint64_t sum = 0;
    for (const Member& member : members_) {
      if (member.joined) {
        sum += CurrentConnectionShare(member.history, limit, server_domain,
                                      member.place);
      }
    }
    return sum;
  }

  std::mt19937_64 rng_{3};
  std::vector<Member> members_;
  Leader leader_;
};

// Guards against nodes that together exceed a server's connection limit.
TEST_F(ReservationFaultTest, SumNeverExceedsLimit) {
  constexpr int kSteps = 200000;
  uint64_t used = 0;
  for (int n = 0; n < kSteps; ++n) {
    Step();
    for (const uint32_t limit : {3U, 25U, 100U}) {
      for (const std::string domain : {"a", "b", "d"}) {
        const uint64_t sum = Sum(limit, {domain});
        ASSERT_LE(sum, limit) << "step " << n;
        used += sum;
      }
    }
  }
  // The nodes must be able to connect at all.
  EXPECT_GT(used, 0U);
  std::printf("steps=%d seed=3 changes=%d mean_use=%.2f\n", kSteps,
              static_cast<int>(leader_.reservation.version),
              static_cast<double>(used) / (3.0 * 128 * kSteps));
}

}  // namespace
}  // namespace gooseberryrock::directory
