// Tests that entry nodes together keep to the request rates that servers name,
// under load and in virtual time.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::seconds;

// What a server may get in a window, from the time on at which the limit
// counts: one and a half times the limit, and five requests.
constexpr Duration kWindow = seconds(4);
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedRequests = 5;

// The most requests that the server received in a window that lies between
// `from` and `to`.
size_t MostInWindow(const SimulationResult& result,
                    size_t server,
                    Duration from,
                    Duration to) {
  std::vector<Duration> arrivals;
  if (result.arrivals.contains(server)) {
    for (const SimulatedArrival& it : result.arrivals.at(server)) {
      if (it.at >= from && it.at < to) {
        arrivals.push_back(it.at);
      }
    }
  }
  size_t most = 0;
  for (size_t first = 0, i = 0; i < arrivals.size(); ++i) {
    while (arrivals[i] - arrivals[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

double Allowed(double limit) {
  return kAllowedShare * limit *
             std::chrono::duration<double>(kWindow).count() +
         kAllowedRequests;
}

// Servers of shard 0 name `limit`, all but the last `free` ones.
SimulationOptions LimitedShard(double limit, size_t free, size_t nodes) {
  SimulationOptions options;
  options.nodes = nodes;
  options.length = seconds(24);
  options.limit = [limit, free, servers = options.servers_per_shard](
                      size_t shard, size_t server, Duration at) {
    return shard == 0 && server + free < servers && at >= seconds(2) &&
                   at < seconds(18)
               ? limit
               : 0;
  };
  return options;
}

void ExpectLimitKept(const SimulationResult& result,
                     double limit,
                     size_t limited_servers) {
  for (size_t i = 0; i < limited_servers; ++i) {
    const size_t most = MostInWindow(result, i, seconds(6), seconds(18));
    std::cout << "server " << i << ": at most " << most << " in 4 s, allowed "
              << Allowed(limit) << "\n";
    EXPECT_LE(static_cast<double>(most), Allowed(limit));
    EXPECT_GT(most, 0U);
  }
}

// Load: two of three servers of a shard name a sixth of what they get. Guards
// against nodes that go on sending, and against answers that get worse although
// the third server has room.
TEST(RequestLimitLoadTest, FreeServerTakesTheRest) {
  const SimulationResult result = Simulate(LimitedShard(10, 1, 8));
  ExpectLimitKept(result, 10, 2);
  EXPECT_GT(result.Value(), 0.95);
  EXPECT_LT(static_cast<double>(result.refused),
            0.01 * static_cast<double>(result.requests));
}

// Load: all servers of a shard name limits that are half of the load together.
// Guards against a hedge, a retry or a probe that ignores them, and against
// requests that wait for the shard instead of going on without it.
TEST(RequestLimitLoadTest, ShardIsLeftOutWhenAllAreLimited) {
  const SimulationResult result = Simulate(LimitedShard(30, 0, 8));
  ExpectLimitKept(result, 30, 3);
  EXPECT_GT(result.Value(), 0.85);
}

// Load: many nodes and a limit of less than one request a second for each.
// Guards against a limit that each node rounds up.
TEST(RequestLimitLoadTest, ManyNodesShareASmallLimit) {
  const SimulationResult result = Simulate(LimitedShard(20, 1, 40));
  ExpectLimitKept(result, 20, 2);
  EXPECT_GT(result.Value(), 0.9);
}

// Load: the limits of all servers of a shard end. Guards against servers that
// stay unused because no request goes there that could show it.
TEST(RequestLimitLoadTest, LimitEndsWhenItIsNoLongerNamed) {
  const SimulationResult result = Simulate(LimitedShard(1, 0, 8));
  ExpectLimitKept(result, 1, 3);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_GT(MostInWindow(result, i, seconds(20), seconds(24)), 100U);
  }
}

}  // namespace
}  // namespace gooseberryrock::relay
