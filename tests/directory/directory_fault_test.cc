// Tests directories under random faults, in virtual time with fixed seeds.

#include <gtest/gtest.h>

#include <cstdio>

#include "directory_simulation.h"

namespace gooseberryrock::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 6;
constexpr size_t kServers = 12;
// Time for expiry, contact with lost nodes, the grace period and three rounds
// of digests.
constexpr Duration kConvergenceTime = seconds(20);

void Heal(DirectorySimulation& simulation) {
  simulation.loss = 0;
  simulation.duplication = 0;
  simulation.max_delay = milliseconds(2);
  simulation.cut_nodes.clear();
  simulation.cut_domains.clear();
  for (size_t i = 0; i < kNodes; ++i) {
    if (!simulation.nodes[i].running) {
      simulation.StartNode(i);
    }
  }
}

void RandomServerEvent(DirectorySimulation& simulation) {
  const size_t server = simulation.rng() % kServers;
  SimulatedServer& it = simulation.servers[server];
  if (!it.running) {
    simulation.StartServer(server);
  } else if (it.record.state == ServerState::kReady) {
    simulation.Announce(server, ServerState::kDraining);
  } else {
    simulation.StopServer(server);
  }
}

void RandomFault(DirectorySimulation& simulation) {
  const std::string domains = "xyz";
  const FailureDomain from{domains.substr(simulation.rng() % 3, 1)};
  const FailureDomain to{domains.substr(simulation.rng() % 3, 1)};
  const size_t node = simulation.rng() % kNodes;
  switch (simulation.rng() % 6) {
    case 0:
      simulation.cut_nodes.insert({node, simulation.rng() % kNodes});
      break;
    case 1:
      if (from != to) {
        simulation.cut_domains.insert({from, to});
      }
      break;
    case 2:
      simulation.cut_nodes.clear();
      simulation.cut_domains.clear();
      break;
    case 3:
      simulation.StopNode(node);
      break;
    case 4:
      if (!simulation.nodes[node].running) {
        simulation.StartNode(node);
      }
      break;
    default:
      RandomServerEvent(simulation);
  }
}

// Guards against directories that never converge after faults, and against
// servers that return from draining or gone.
TEST(DirectoryFaultTest, ConvergesAfterGeneratedFaults) {
  constexpr uint64_t kRuns = 300;
  uint64_t messages = 0;
  uint64_t wrong_expiries = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    DirectorySimulation simulation(kNodes, kServers, seed);
    simulation.Run(seconds(2));
    simulation.loss = static_cast<double>(seed % 4) * 0.1;
    simulation.duplication = static_cast<double>(seed % 3) * 0.1;
    simulation.max_delay = milliseconds(seed % 5 * 200);
    for (int n = 0; n < 20; ++n) {
      RandomFault(simulation);
      simulation.Run(milliseconds(50 * (simulation.rng() % 40)));
    }
    Heal(simulation);
    simulation.Run(kConvergenceTime);
    ASSERT_EQ(simulation.Divergence(), "") << "seed " << seed;
    ASSERT_EQ(simulation.violations, 0U) << "seed " << seed;
    messages += simulation.messages;
    wrong_expiries += simulation.wrong_expiries;
  }
  std::printf("runs=%d messages=%d wrong_expiries=%d\n",
              static_cast<int>(kRuns), static_cast<int>(messages),
              static_cast<int>(wrong_expiries));
}

// Guards against declaring a live server gone while a partition of up to 60 s
// separates it from its owner.
TEST(DirectoryFaultTest, LiveServersDoNotExpireInPartitions) {
  constexpr uint64_t kRuns = 60;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    DirectorySimulation simulation(kNodes, kServers, seed);
    simulation.Run(seconds(2));
    simulation.max_delay = milliseconds(seed % 3 * 50);
    for (const std::string domain : {"y", "z"}) {
      simulation.cut_domains.insert({{"x"}, {domain}});
      // Every third partition is one-way.
      if (seed % 3 != 0) {
        simulation.cut_domains.insert({{domain}, {"x"}});
      }
    }
    simulation.Run(seconds(seed));
    Heal(simulation);
    simulation.Run(kConvergenceTime);
    ASSERT_EQ(simulation.wrong_expiries, 0U) << "seed " << seed;
    ASSERT_EQ(simulation.Divergence(), "") << "seed " << seed;
    for (const SimulatedServer& server : simulation.servers) {
      ASSERT_EQ(server.record.incarnation, 1U) << "seed " << seed;
    }
  }
  std::printf("partitions=%d\n", static_cast<int>(kRuns));
}

// Guards against an isolated node that expires servers which have moved to
// other nodes, and propagates this when it reconnects.
TEST(DirectoryFaultTest, IsolatedNodeDeclaresNoServerGone) {
  constexpr uint64_t kRuns = 40;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    DirectorySimulation simulation(kNodes, kServers, seed);
    simulation.Run(seconds(2));
    const size_t alone = seed % kNodes;
    for (size_t i = 0; i < kNodes; ++i) {
      simulation.cut_nodes.insert({i, alone});
      if (seed % 2 == 0) {
        simulation.cut_nodes.insert({alone, i});
      }
    }
    for (SimulatedServer& server : simulation.servers) {
      server.node = (alone + 1) % kNodes;
    }
    simulation.Run(milliseconds(500) * seed);
    Heal(simulation);
    simulation.Run(kConvergenceTime);
    ASSERT_EQ(simulation.wrong_expiries, 0U) << "seed " << seed;
    ASSERT_EQ(simulation.Divergence(), "") << "seed " << seed;
  }
  std::printf("isolations=%d\n", static_cast<int>(kRuns));
}

// Guards against losing or restoring records when a node is lost at any step of
// the exchange. Stops each node at each step of a drain.
TEST(DirectoryFaultTest, NodeLossAtEachStep) {
  int runs = 0;
  for (size_t node = 0; node < kNodes; ++node) {
    for (int step = 0; step < 40; ++step) {
      for (const Duration down : {milliseconds(100), milliseconds(5000)}) {
        DirectorySimulation simulation(kNodes, kServers, 7);
        simulation.Run(seconds(2));
        simulation.Announce(0, ServerState::kDraining);
        simulation.StopServer(1);
        simulation.Run(step * milliseconds(50));
        simulation.StopNode(node);
        simulation.Run(down);
        simulation.StartNode(node);
        simulation.Run(kConvergenceTime);
        ASSERT_EQ(simulation.Divergence(), "")
            << "node " << node << " step " << step;
        ASSERT_EQ(simulation.violations, 0U);
        ASSERT_EQ(simulation.wrong_expiries, 0U);
        ++runs;
      }
    }
  }
  std::printf("runs=%d\n", runs);
}

}  // namespace
}  // namespace gooseberryrock::directory
