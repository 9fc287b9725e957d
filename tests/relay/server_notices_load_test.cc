// Tests that servers which leave or rest get no more requests, under load and
// in virtual time.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>

#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requests that a node may send to a server between half a second after it
// was refused with a rest and the end of that rest.
constexpr size_t kAllowedInRest = 2;
constexpr Duration kGrace = milliseconds(500);

bool IsIn(Duration at, Duration from, Duration length) {
  return at >= from && at < from + length;
}

// Returns the most requests that one node sent to the server in the rest that
// lasts from `from` to `to`.
size_t MostInRest(const SimulationResult& result,
                  size_t server,
                  Duration from,
                  Duration to) {
  std::map<size_t, Duration> told;
  std::map<size_t, size_t> sent;
  size_t most = 0;
  for (const SimulatedArrival& it : result.arrivals.at(server)) {
    if (!IsIn(it.at, from, to - from)) {
      continue;
    }
    if (told.contains(it.node) && it.at >= told[it.node] + kGrace) {
      most = std::max(most, ++sent[it.node]);
    }
    told.emplace(it.node, it.at);
  }
  return most;
}

// Load: all servers of a shard rest at the same time, for 0.2 s, 2 s and 20 s.
// Guards against requests that are sent all the same, answers that get late
// because they wait for the shard, and a shard that stays unused afterwards.
TEST(ServerNoticesLoadTest, RestingShardIsLeftAlone) {
  for (const Duration length : {Duration(milliseconds(200)),
                                Duration(seconds(2)), Duration(seconds(20))}) {
    const Duration from = seconds(3);
    SimulationOptions options;
    options.nodes = 8;
    options.length = from + length + seconds(5);
    options.rest = [=](size_t shard, size_t /*server*/, Duration at) {
      return shard == 0 && IsIn(at, from, length) ? from + length - at
                                                  : Duration::zero();
    };
    const SimulationResult result = Simulate(options);
    for (size_t i = 0; i < options.servers_per_shard; ++i) {
      EXPECT_LE(MostInRest(result, i, from, from + length), kAllowedInRest);
      const auto& arrivals = result.arrivals.at(i);
      const auto after = std::count_if(
          arrivals.begin(), arrivals.end(), [&](const SimulatedArrival& it) {
            return it.at >= from + length + seconds(1);
          });
      EXPECT_GT(after, 100) << "server " << i << " stays unused";
    }
    EXPECT_GT(result.Value(), 0.83);
    EXPECT_LT(static_cast<double>(result.refused),
              0.02 * static_cast<double>(result.requests));
  }
}

// Load: rests that are renewed as they end. Guards against a rush of all nodes
// at the end of each.
TEST(ServerNoticesLoadTest, RenewedRestsAreNoRush) {
  const Duration from = seconds(3);
  const Duration period = seconds(2);
  SimulationOptions options;
  options.nodes = 8;
  options.length = seconds(20);
  options.rest = [=](size_t shard, size_t server, Duration at) {
    return shard == 0 && server == 0 && at >= from
               ? period - (at - from) % period
               : Duration::zero();
  };
  const SimulationResult result = Simulate(options);
  for (Duration start = from; start < options.length; start += period) {
    EXPECT_LE(MostInRest(result, 0, start, start + period), kAllowedInRest);
    const auto& arrivals = result.arrivals.at(0);
    const auto n = std::count_if(
        arrivals.begin(), arrivals.end(),
        [&](const SimulatedArrival& it) { return IsIn(it.at, start, period); });
    // One for each node, and in the first period those on their way.
    EXPECT_LE(n, start == from ? 40 : 2 * 8);
  }
  EXPECT_GT(result.Value(), 0.97);
}

// Load: half of the servers leave one after the other. Guards against requests
// that reach a server which says that it leaves, and against answers that get
// worse while the others have room.
TEST(ServerNoticesLoadTest, LeavingServersGetNoMoreRequests) {
  const auto leaves_at = [](size_t shard, size_t server) {
    return server == 0 || (server == 1 && shard % 2 == 0)
               ? Duration(seconds(3) + milliseconds(500) * (shard + server))
               : Duration::max();
  };
  SimulationOptions options;
  options.nodes = 8;
  // Some shards keep one server, which serves 180 a second.
  options.rate = 100;
  options.leaving = [&](size_t shard, size_t server, Duration at) {
    return at >= leaves_at(shard, server);
  };
  const SimulationResult result = Simulate(options);
  for (const auto& [server, arrivals] : result.arrivals) {
    const Duration leaves = leaves_at(server / options.servers_per_shard,
                                      server % options.servers_per_shard);
    // A node learns of it by a reply, after the first of its requests.
    std::map<size_t, Duration> told;
    for (const SimulatedArrival& it : arrivals) {
      if (it.at < leaves) {
        continue;
      }
      told.emplace(it.node, it.at);
      EXPECT_LT(it.at, told[it.node] + milliseconds(250))
          << "server " << server << " node " << it.node;
    }
  }
  EXPECT_GT(result.Value(), 0.97);
}

}  // namespace
}  // namespace gooseberryrock::relay
