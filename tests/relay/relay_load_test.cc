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

struct Pair {
  SimulationResult baseline;
  SimulationResult chosen;
};

Pair Compare(SimulationOptions options) {
  Pair pair;
  pair.chosen = Simulate(options);
  options.baseline = true;
  pair.baseline = Simulate(options);
  std::cout << "value " << pair.chosen.Value() << " baseline "
            << pair.baseline.Value() << ", refused " << pair.chosen.refused
            << ", extra attempts "
            << static_cast<double>(pair.chosen.extra_attempts) /
                   static_cast<double>(pair.chosen.attempts)
            << "\n";
  return pair;
}

// Each server is paused for 120 ms every 3 s, at different times.
bool Pause(size_t shard, size_t server, Duration at) {
  const Duration offset = milliseconds(397) * static_cast<int64_t>(shard) +
                          milliseconds(1013) * static_cast<int64_t>(server);
  return (at + offset) % seconds(3) < milliseconds(120);
}

// Load: pauses that affect a third of the gathered requests. Guards against
// waiting for a paused server, and against more extra attempts than the allowed
// fraction of 0.2.
TEST(RelayLoadTest, PausesAreHedged) {
  SimulationOptions options;
  options.paused = Pause;
  const Pair pair = Compare(options);
  EXPECT_GT(pair.chosen.Value(), 0.95);
  EXPECT_GT(pair.chosen.Value(), pair.baseline.Value());
  EXPECT_LT(static_cast<double>(pair.chosen.extra_attempts),
            0.2 * static_cast<double>(pair.chosen.attempts));
}

// Load: one server in a third of the shards is eight times slower than the
// others. Guards against keeping its requests there.
TEST(RelayLoadTest, SlowServersAreAvoided) {
  SimulationOptions options;
  options.rate = 120;
  options.slowness = [](size_t shard, size_t server, Duration at) {
    return shard % 3 == 0 && server == 0 && at > seconds(5) ? 8.0 : 1.0;
  };
  const Pair pair = Compare(options);
  EXPECT_GT(pair.chosen.Value(), 0.9);
  EXPECT_GT(pair.chosen.Value(), pair.baseline.Value());
}

// Load: one shard has lost two of its three servers and cannot handle all
// requests. Guards against delaying all answers because of it.
TEST(RelayLoadTest, OverloadedShardIsLeftOut) {
  SimulationOptions options;
  options.rate = 260;
  options.slowness = [](size_t shard, size_t server, Duration /*at*/) {
    return shard == 0 && server != 0 ? 50.0 : 1.0;
  };
  const Pair pair = Compare(options);
  EXPECT_GT(pair.chosen.Value(), 0.75);
  EXPECT_GT(pair.chosen.Value(), pair.baseline.Value());
}

// Load: one and a half times the capacity of the servers. Guards against queues
// that make every answer late: requests that cannot be answered in time are
// refused, and more than half of the capacity still yields full value.
TEST(RelayLoadTest, OverloadIsRefusedEarly) {
  SimulationOptions options;
  options.rate = 800;
  options.length = seconds(8);
  const Pair pair = Compare(options);
  EXPECT_GT(pair.chosen.refused, 0U);
  EXPECT_GT(pair.chosen.Value(), 0.35);
  EXPECT_GT(pair.chosen.Value(), pair.baseline.Value());
}

}  // namespace
}  // namespace gooseberryrock::relay
