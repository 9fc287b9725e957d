// Loss of a second VM at every step of replacing a first lost VM.

#include <gtest/gtest.h>

#include <iostream>
#include <set>
#include <string>

#include "simulated_cluster.h"

namespace gooseberryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns whether at least one disk has all entries of answered proposals.
bool AnyDiskHoldsAnswers(const SimulatedCluster& cluster) {
  for (const auto& [id, vm] : cluster.vms) {
    const StoredState& stored = vm.disk.stored;
    const uint64_t last = stored.entries.empty()
                              ? stored.snapshot.last.index
                              : stored.entries.back().position.index;
    if (last >= cluster.last_answered_index) {
      return true;
    }
  }
  return false;
}

struct Case {
  uint64_t step = 0;
  bool leader = false;
  bool disk_too = false;
};

// Returns false if the replacement had completed before the second loss.
bool RunCase(const Case& it, uint64_t& progressed) {
  SimulatedCluster cluster(3, it.step % 5 + 1);
  Run(cluster, milliseconds(3500));
  const NodeId leader = *FindLeader(cluster);
  const NodeId first = leader == NodeId{"a"} ? NodeId{"b"} : NodeId{"a"};
  CrashVm(cluster, first, milliseconds(100));
  LoseDisk(cluster, first);
  // The operator removes, adds and promotes the VM, 250 ms apart.
  Run(cluster, seconds(3), it.step);
  const auto now_leader = FindLeader(cluster);
  const bool over =
      now_leader && cluster.now >= SteadyTime(std::chrono::hours(1)) +
                                       milliseconds(3500) + milliseconds(2900);
  NodeId second;
  for (const auto& [id, vm] : cluster.vms) {
    if (id != first && (id == now_leader) == it.leader) {
      second = id;
    }
  }
  if (second.empty()) {
    return !over;
  }
  CrashVm(cluster, second, seconds(3));
  if (it.disk_too) {
    LoseDisk(cluster, second);
  }
  Run(cluster, milliseconds(2500));
  EXPECT_TRUE(AnyDiskHoldsAnswers(cluster)) << "step " << it.step;
  const uint64_t answered = cluster.last_answered_index;
  Run(cluster, seconds(7));
  CheckAnswers(cluster);
  for (const std::string& violation : cluster.violations) {
    ADD_FAILURE() << "step " << it.step << ": " << violation;
  }
  const bool progress = cluster.last_answered_index > answered;
  progressed += progress ? 1 : 0;
  // If it kept its disk, the restarted second VM restores the majority.
  EXPECT_TRUE(progress || it.disk_too) << "step " << it.step;
  return !over;
}

// Guards against the loss of acknowledged entries that only the lost VM had.
TEST(ReplacementTest, SecondLossAtEveryStepLosesNothing) {
  uint64_t cases = 0;
  uint64_t progressed = 0;
  for (bool leader : {false, true}) {
    for (bool disk_too : {false, true}) {
      for (uint64_t step = 0; RunCase({step, leader, disk_too}, progressed);
           step += 3) {
        ++cases;
      }
    }
  }
  std::cout << "replacement: " << cases << " cases, " << progressed
            << " resumed\n";
  EXPECT_GT(cases, 1000U);
}

}  // namespace
}  // namespace gooseberryrock::consensus
