// Tests gathered requests of a large fleet under load: all entry nodes fan out
// by themselves, or a few gather for all. The hop between nodes is left out.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "gooseberryrock/relay/gather_nodes.h"
#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEntryNodes = 195;
constexpr uint32_t kConnectionLimit = 125;

// The fleet of the large deployment: 42 shards of three servers.
SimulationOptions LargeFleet() {
  SimulationOptions options;
  options.shards = 42;
  options.slots = 3;
  options.rate = 100;
  options.work = milliseconds(15);
  options.target = milliseconds(120);
  options.length = seconds(12);
  options.minimum_coverage = 0.95;
  options.extra_attempts = ExtraAttemptLimit{0.2, 430, seconds(10)};
  return options;
}

size_t CountGatherNodes() {
  GatherInputs inputs;
  inputs.connection_limit = kConnectionLimit;
  for (const char* domain : {"a", "b", "c", "d", "e"}) {
    inputs.servers[{domain}] = 1;
    for (size_t i = 0; i < kEntryNodes / 5; ++i) {
      inputs.nodes[{domain}].push_back({domain + std::to_string(i)});
    }
  }
  size_t n = 0;
  for (const auto& [domain, nodes] : ChooseGatherNodes(inputs)) {
    n += nodes.size();
  }
  return n;
}

struct Comparison {
  SimulationResult all_fan_out;
  SimulationResult few_gather;
};

Comparison Compare(SimulationOptions options) {
  Comparison comparison;
  options.nodes = kEntryNodes;
  comparison.all_fan_out = Simulate(options);
  options.nodes = CountGatherNodes();
  comparison.few_gather = Simulate(options);
  std::cout << "value " << comparison.few_gather.Value() << " with all nodes "
            << comparison.all_fan_out.Value() << ", complete "
            << comparison.few_gather.CompleteShare() << " and "
            << comparison.all_fan_out.CompleteShare() << "\n";
  return comparison;
}

double ExtraShare(const SimulationResult& it) {
  return static_cast<double>(it.extra_attempts) /
         static_cast<double>(it.attempts);
}

// Load: a sixth of the servers is ten times slower. Guards against nodes that
// send each server too few requests to learn which of them are slow.
TEST(GatherLoadTest, SixthOfTheServersIsSlow) {
  SimulationOptions options = LargeFleet();
  options.slowness = [](size_t shard, size_t server, Duration /*at*/) {
    return (shard * 3 + server) % 6 == 0 ? 10.0 : 1.0;
  };
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.few_gather.Value(), comparison.all_fan_out.Value());
  EXPECT_GT(comparison.few_gather.CompleteShare(), 0.85);
  EXPECT_LT(ExtraShare(comparison.few_gather), 0.2);
}

// Load: half of the servers lose two fifths of their replies. Guards against
// nodes whose share of the extra attempts is used up where the need is.
TEST(GatherLoadTest, HalfOfTheServersLoseReplies) {
  SimulationOptions options = LargeFleet();
  options.lost = [](size_t shard, size_t server, Duration at) {
    return (shard + server) % 2 == 0 && at > seconds(2) ? 0.4 : 0.0;
  };
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.few_gather.Value(), comparison.all_fan_out.Value());
  EXPECT_GT(comparison.few_gather.Value(), 0.64);
}

// Load: each server pauses for 150 ms every 3.6 s, so that most requests meet a
// pause. Guards against answers without the paused shards.
TEST(GatherLoadTest, PausesAreHedged) {
  SimulationOptions options = LargeFleet();
  options.paused = [](size_t shard, size_t server, Duration at) {
    const Duration offset = milliseconds(397) * static_cast<int64_t>(shard) +
                            milliseconds(1013) * static_cast<int64_t>(server);
    return (at + offset) % milliseconds(3600) < milliseconds(150);
  };
  const Comparison comparison = Compare(options);
  EXPECT_GE(comparison.few_gather.Value(), comparison.all_fan_out.Value());
  EXPECT_GT(comparison.few_gather.CompleteShare(), 0.85);
}

}  // namespace
}  // namespace gooseberryrock::relay
