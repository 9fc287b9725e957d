// Tests the relay library under load against a baseline in the same run: no
// load balancing, no hedging, and all shards are required.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Comparison {
  SimulationResult baseline;
  SimulationResult tested;
};

Comparison Compare(SimulationOptions options) {
  Comparison comparison;
  comparison.tested = Simulate(options);
  options.baseline = true;
  comparison.baseline = Simulate(options);
  std::cout << "value " << comparison.tested.Value() << " baseline "
            << comparison.baseline.Value() << ", refused "
            << comparison.tested.refused << ", extra attempts "
            << static_cast<double>(comparison.tested.extra_attempts) /
                   static_cast<double>(comparison.tested.attempts)
            << "\n";
  return comparison;
}

// Each server is paused for 120 ms every 3 s, at different times.
bool IsPaused(size_t shard, size_t server, Duration at) {
  const Duration offset = milliseconds(397) * static_cast<int64_t>(shard) +
                          milliseconds(1013) * static_cast<int64_t>(server);
  return (at + offset) % seconds(3) < milliseconds(120);
}

// Load: pauses that affect a third of the gathered requests. Guards against
// waiting for a paused server, and against more extra attempts than the allowed
// fraction of 0.2.
TEST(RelayLoadTest, PausesAreHedged) {
  SimulationOptions options;
  options.paused = IsPaused;
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.tested.Value(), 0.95);
  EXPECT_GT(comparison.tested.Value(), comparison.baseline.Value());
  EXPECT_LT(static_cast<double>(comparison.tested.extra_attempts),
            0.2 * static_cast<double>(comparison.tested.attempts));
}

// Load: one server in a third of the shards is eight times slower than the
// others. Guards against keeping its requests there.
TEST(RelayLoadTest, SlowServersAreAvoided) {
  SimulationOptions options;
  options.rate = 120;
  options.slowness = [](size_t shard, size_t server, Duration at) {
    return shard % 3 == 0 && server == 0 && at > seconds(5) ? 8.0 : 1.0;
  };
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.tested.Value(), 0.9);
  EXPECT_GT(comparison.tested.Value(), comparison.baseline.Value());
}

// Load: one shard has lost two of its three servers and cannot handle all
// requests. Guards against delaying all answers because of it.
TEST(RelayLoadTest, OverloadedShardIsLeftOut) {
  SimulationOptions options;
  options.rate = 260;
  options.slowness = [](size_t shard, size_t server, Duration /*at*/) {
    return shard == 0 && server != 0 ? 50.0 : 1.0;
  };
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.tested.Value(), 0.75);
  EXPECT_GT(comparison.tested.Value(), comparison.baseline.Value());
}

// Load: one and a half times the capacity of the servers. Guards against queues
// that make every answer late: requests that cannot be answered in time are
// refused, and more than half of the capacity still yields full value.
TEST(RelayLoadTest, OverloadIsRefusedEarly) {
  SimulationOptions options;
  options.rate = 800;
  options.length = seconds(8);
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.tested.refused, 0U);
  EXPECT_GT(comparison.tested.Value(), 0.35);
  EXPECT_GT(comparison.tested.Value(), comparison.baseline.Value());
}

}  // namespace
}  // namespace gooseberryrock::relay
