// Tests what becomes of gathered requests whose shards cannot be reached or
// refuse their work, against sending them all the same.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>

#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsPaused(size_t shard, size_t server, Duration at) {
  const Duration offset = milliseconds(397) * static_cast<int64_t>(shard) +
                          milliseconds(1013) * static_cast<int64_t>(server);
  return (at + offset) % seconds(3) < milliseconds(120);
}

struct Comparison {
  SimulationResult before;
  SimulationResult after;
};

Comparison Compare(const std::string& name, SimulationOptions options) {
  Comparison comparison;
  comparison.after = Simulate(options);
  options.policy.refuse_unresponsive = false;
  comparison.before = Simulate(options);
  for (const SimulationResult* it : {&comparison.before, &comparison.after}) {
    std::cout << name << (it == &comparison.before ? " before" : " after")
              << ": in time " << it->in_time << ", late or failed " << it->late
              << ", refused " << it->refused << " of " << it->requests
              << ", attempts " << it->attempts << "\n";
  }
  return comparison;
}

// Load: the nodes of a failure domain without servers, a quarter of all, are
// cut off for 5 s twice. Guards against requests that wait there for the target
// latency.
TEST(UnresponsiveLoadTest, CutOffNodesRefuse) {
  SimulationOptions options;
  options.nodes = 8;
  options.paused = IsPaused;
  options.cut_off = [](size_t node, size_t /*server*/, Duration at) {
    return node % 4 == 3 && at % seconds(10) >= seconds(3) &&
           at % seconds(10) < seconds(8);
  };
  const Comparison it = Compare("cut off", options);
  EXPECT_LT(it.after.Share(it.after.late),
            0.5 * it.before.Share(it.before.late));
  EXPECT_GE(it.after.Share(it.after.in_time),
            it.before.Share(it.before.in_time));
}

// Load: from half to twice what the servers can handle, and servers that refuse
// requests beyond a short queue. Guards against gathered requests that run on
// most shards and lack the others, and against refusing those that would be
// answered.
TEST(UnresponsiveLoadTest, FullServersAreLeftAlone) {
  SimulationOptions options;
  options.nodes = 3;
  options.length = seconds(8);
  options.max_waiting = 2;
  for (const double rate : {300.0, 500.0, 700.0, 1000.0}) {
    options.rate = rate;
    const Comparison it = Compare("full at " + std::to_string(rate), options);
    EXPECT_LE(it.after.Share(it.after.late), it.before.Share(it.before.late));
    EXPECT_GE(it.after.Share(it.after.in_time),
              it.before.Share(it.before.in_time));
  }
}

// Load: pauses alone, and pauses beside a shard that has lost a server. Guards
// against refusing requests that are answered in time.
TEST(UnresponsiveLoadTest, PausesRefuseNothing) {
  SimulationOptions options;
  options.paused = IsPaused;
  options.cut_off = [](size_t /*node*/, size_t server, Duration at) {
    return server == 1 && at > seconds(5) && at < seconds(10);
  };
  const Comparison it = Compare("pauses", options);
  EXPECT_EQ(it.after.refused, it.before.refused);
  EXPECT_EQ(it.after.in_time, it.before.in_time);
}

}  // namespace
}  // namespace gooseberryrock::relay
