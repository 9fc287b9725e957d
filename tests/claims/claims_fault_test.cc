// Tests at-most-once execution under lost, late and duplicated messages, node
// loss at each step, and releases, with random schedules from fixed seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/claims/claims.h"

namespace gooseberryrock::claims {
namespace {

using std::chrono::milliseconds;

using Entry = std::variant<ClaimEntry, OutcomeEntry, ReleaseEntry>;

// One handling of a resend by a node.
struct Handling {
  RequestId request;
  ClaimHolder holder;
  uint64_t content = 0;
  // The node is lost after this step.
  int lost_after = 0;
  bool executed = false;
};

class ClaimsSchedule {
 public:
  explicit ClaimsSchedule(uint64_t seed) : rng_(seed) {}

  // Runs resends of one request, with log entries delivered in random order.
  void Run() {
    for (int n = 0; n < 12; ++n) {
      const auto ms =
          std::chrono::duration_cast<milliseconds>(start_.time_since_epoch());
      Handling handling{{std::to_string(ms.count()) + "-r"},
                        {{std::string(1, 'a' + rng_() % 3)},
                         1 + rng_() % 2,
                         static_cast<uint64_t>(n)},
                        rng_() % 8 == 0 ? 2U : 1U,
                        static_cast<int>(rng_() % 5),
                        false};
      Handle(handling);
      now_ += milliseconds(rng_() % 120000);
      DeliverLate();
    }
  }

  int executions = 0;
  std::vector<Entry> log;
  ClaimsState state;

 private:
  void Handle(Handling& handling) {
    if (handling.lost_after < 1) {
      return;
    }
    const ClaimEntry claim{handling.request, handling.content, handling.holder,
                           LeaderTime()};
    if (rng_() % 8 == 0) {
      // The claim is delayed, and the node releases it because it has not sent
      // the request.
      late_.push_back(claim);
      Append(ReleaseEntry{handling.request, handling.holder, LeaderTime()});
      return;
    }
    const bool granted = AppendClaim(claim).status == ClaimStatus::kGranted;
    if (rng_() % 4 == 0) {
      late_.push_back(claim);
    }
    if (!granted || handling.lost_after < 2) {
      return;
    }
    if (rng_() % 4 == 0) {
      Append(ReleaseEntry{handling.request, handling.holder, LeaderTime()});
      return;
    }
    ++executions;
    if (handling.lost_after >= 3) {
      Append(OutcomeEntry{handling.request, handling.holder, "done",
                          LeaderTime()});
    }
  }

  // Clocks of successive leaders differ by up to two minutes.
  WallTime LeaderTime() {
    return now_ + milliseconds(rng_() % 120000) - milliseconds(60000);
  }

  ClaimResult AppendClaim(const ClaimEntry& entry) {
    log.emplace_back(entry);
    return ApplyClaim(state, entry);
  }

  void Append(const Entry& entry) {
    log.push_back(entry);
    Apply(state, entry);
  }

  void DeliverLate() {
    std::shuffle(late_.begin(), late_.end(), rng_);
    while (!late_.empty() && rng_() % 2 == 0) {
      Append(late_.back());
      late_.pop_back();
    }
  }

 public:
  static void Apply(ClaimsState& state, const Entry& entry) {
    if (const auto* claim = std::get_if<ClaimEntry>(&entry)) {
      ApplyClaim(state, *claim);
    } else if (const auto* outcome = std::get_if<OutcomeEntry>(&entry)) {
      ApplyOutcome(state, *outcome);
    } else {
      ApplyRelease(state, std::get<ReleaseEntry>(entry));
    }
  }

 private:
  std::mt19937_64 rng_;
  const WallTime start_{std::chrono::hours(400000)};
  WallTime now_ = start_;
  std::vector<Entry> late_;
};

// Guards against executing a request twice, and against control VMs whose
// claims diverge.
TEST(ClaimsFaultTest, ExecutesAtMostOnce) {
  constexpr uint64_t kSchedules = 50000;
  int executed = 0;
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    ClaimsSchedule schedule(seed);
    schedule.Run();
    ASSERT_LE(schedule.executions, 1) << "seed " << seed;
    executed += schedule.executions;
    ClaimsState replica;
    for (const Entry& entry : schedule.log) {
      ClaimsSchedule::Apply(replica, entry);
    }
    ASSERT_EQ(replica, schedule.state) << "seed " << seed;
  }
  // Most schedules must execute the request.
  EXPECT_GT(executed, static_cast<int>(kSchedules / 2));
  std::printf("schedules=%d executed=%d\n", static_cast<int>(kSchedules),
              executed);
}

}  // namespace
}  // namespace gooseberryrock::claims
