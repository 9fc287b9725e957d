// Loss of a second VM at the moment from which the deployment has it tolerated:
// the replacement time after the first lost VM, or its successor, has started.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "repair_simulation.h"

namespace gooseberryrock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The bounds of the current deployments: a VM that starts or returns counts
// again after the first, and a command is acknowledged within the second.
constexpr Duration kReplacementTime = seconds(4);
constexpr Duration kAcknowledgeTime = seconds(5);
constexpr Duration kShutdownTime = seconds(2);

// Time until the log has a leader, and all VMs are members.
constexpr Duration kStartTime = seconds(6);
constexpr int kSeeds = 5;

enum class FirstLoss {
  // Lost for good; an empty VM starts at another address after a second, or at
  // once.
  kReplacedLater,
  kReplacedAtOnce,
  // An empty VM starts and counts before the old one is shut down.
  kReplacedAsPlanned,
  kDiskLost,
  kRestarted,
  kFrozen,
  kCutOff,
};

enum class SecondLoss { kLeader, kFollower, kNewest };

struct Case {
  FirstLoss first = FirstLoss::kReplacedLater;
  bool first_is_leader = false;
  SecondLoss second = SecondLoss::kLeader;
  // A VM that was added before the first loss.
  bool with_spare = false;
  uint64_t seed = 1;
};

std::ostream& operator<<(std::ostream& out, const Case& it) {
  return out << "first=" << static_cast<int>(it.first)
             << " leader=" << it.first_is_leader
             << " second=" << static_cast<int>(it.second)
             << " spare=" << it.with_spare << " seed=" << it.seed;
}

NodeId ChooseFirst(const RepairSimulation& simulation, bool leader) {
  const NodeId now_leader = *FindLeader(simulation.cluster);
  for (const char* it : {"a", "b", "c"}) {
    if ((NodeId{it} == now_leader) == leader) {
      return {it};
    }
  }
  return {};
}

// Loses a VM. Returns when the deployment has its place taken again.
SteadyTime Lose(RepairSimulation& simulation,
                FirstLoss first,
                const NodeId& id,
                const NodeId& successor = {"new"}) {
  constexpr Duration kDown = seconds(1);
  constexpr Duration kLongDown = seconds(5);
  const SteadyTime now = simulation.cluster.now;
  switch (first) {
    case FirstLoss::kReplacedLater:
      StopVm(simulation, id);
      RunFor(simulation, kDown);
      AddVm(simulation, successor);
      return now + kDown;
    case FirstLoss::kReplacedAtOnce:
      StopVm(simulation, id);
      AddVm(simulation, successor);
      return now;
    case FirstLoss::kReplacedAsPlanned:
      AddVm(simulation, successor);
      RunFor(simulation, kReplacementTime);
      ShutDownVm(simulation, id, kShutdownTime);
      return now;
    case FirstLoss::kDiskLost:
      RestartWithEmptyDisk(simulation, id, kDown);
      return now + kDown;
    case FirstLoss::kRestarted:
      RestartVm(simulation, id, kDown);
      return now + kDown;
    case FirstLoss::kFrozen:
      FreezeVm(simulation, id, kLongDown);
      return now + kLongDown;
    case FirstLoss::kCutOff:
      CutOffVm(simulation, id, kLongDown);
      return now + kLongDown;
  }
  return now;
}

// Returns the VM to lose next among those that still run and count: added ones
// do not, unless they took the place of a lost one.
NodeId ChooseSecond(const RepairSimulation& simulation, SecondLoss second) {
  const auto& vms = simulation.cluster.vms;
  const auto leader = FindLeader(simulation.cluster);
  if (second == SecondLoss::kNewest && vms.contains({"new"})) {
    return {"new"};
  }
  for (const auto& [id, vm] : vms) {
    const bool is_leader = id == leader;
    if (vm.alive && id != NodeId{"spare"} &&
        is_leader == (second == SecondLoss::kLeader)) {
      return id;
    }
  }
  return {};
}

void RunCase(const Case& it) {
  RepairSimulation simulation(MakeRepairPolicy(1, kReplacementTime), it.seed);
  RunFor(simulation, kStartTime);
  if (it.with_spare) {
    AddVm(simulation, {"spare"});
    RunFor(simulation, kStartTime);
  }
  const NodeId first = ChooseFirst(simulation, it.first_is_leader);
  const SteadyTime back = Lose(simulation, it.first, first);
  const SteadyTime due = back + kReplacementTime;
  if (due > simulation.cluster.now) {
    RunFor(simulation, due - simulation.cluster.now);
  }
  const NodeId second = ChooseSecond(simulation, it.second);
  if (second.empty()) {
    ADD_FAILURE() << it << ": no VM is left";
    return;
  }
  StopVm(simulation, second);
  EXPECT_TRUE(AnswersWithin(simulation, kAcknowledgeTime)) << it;
  RestartWithEmptyDisk(simulation, second, milliseconds(1));
  RunFor(simulation, kReplacementTime);
  EXPECT_TRUE(AnswersWithin(simulation, kAcknowledgeTime)) << it;
  CheckAnswers(simulation.cluster);
  for (const std::string& violation : simulation.cluster.violations) {
    ADD_FAILURE() << it << ": " << violation;
  }
}

void RunCases(FirstLoss first) {
  for (bool leader : {false, true}) {
    for (SecondLoss second :
         {SecondLoss::kLeader, SecondLoss::kFollower, SecondLoss::kNewest}) {
      for (bool spare : {false, true}) {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
          RunCase({first, leader, second, spare, seed});
        }
      }
    }
  }
}

// Guards against a lost VM that keeps its vote after its successor counts: the
// next loss then leaves no majority.
TEST(SecondLossTest, ToleratedAfterReplacementOfALostVm) {
  RunCases(FirstLoss::kReplacedLater);
}

TEST(SecondLossTest, ToleratedAfterReplacementAtOnce) {
  RunCases(FirstLoss::kReplacedAtOnce);
}

// Guards against a VM that is shut down with its vote: the successor counts
// already, and the next loss may follow at once.
TEST(SecondLossTest, ToleratedAfterPlannedReplacement) {
  RunCases(FirstLoss::kReplacedAsPlanned);
}

// Guards against a VM with an empty disk that is not a voter again in time.
TEST(SecondLossTest, ToleratedAfterLossOfADisk) {
  RunCases(FirstLoss::kDiskLost);
}

// Guards against a VM that is away for a short time and is not counted again,
// or whose place was taken by a VM that has no vote.
TEST(SecondLossTest, ToleratedAfterARestart) {
  RunCases(FirstLoss::kRestarted);
}

TEST(SecondLossTest, ToleratedAfterAFreeze) {
  RunCases(FirstLoss::kFrozen);
}

TEST(SecondLossTest, ToleratedAfterACut) {
  RunCases(FirstLoss::kCutOff);
}

// Guards against a repair that copes with one loss but leaves the membership in
// a state from which the next ones are not tolerated.
TEST(SecondLossTest, EachLossOfASeriesIsTolerated) {
  constexpr int kSeries = 30;
  constexpr int kLosses = 8;
  constexpr int kKinds = static_cast<int>(FirstLoss::kCutOff) + 1;
  for (uint64_t seed = 1; seed <= kSeries; ++seed) {
    RepairSimulation simulation(MakeRepairPolicy(1, kReplacementTime), seed);
    RunFor(simulation, kStartTime);
    std::mt19937_64 random(seed);
    for (int n = 0; n < kLosses; ++n) {
      std::vector<NodeId> running;
      for (const auto& [id, vm] : simulation.cluster.vms) {
        if (vm.alive) {
          running.push_back(id);
        }
      }
      const auto first = static_cast<FirstLoss>(random() % kKinds);
      const SteadyTime back =
          Lose(simulation, first, running[random() % running.size()],
               {"new" + std::to_string(n)});
      RunFor(simulation, milliseconds(1));
      EXPECT_TRUE(AnswersWithin(simulation, kAcknowledgeTime))
          << "seed=" << seed << " loss=" << n
          << " kind=" << static_cast<int>(first);
      const SteadyTime due = back + kReplacementTime;
      if (due > simulation.cluster.now) {
        RunFor(simulation, due - simulation.cluster.now);
      }
    }
    CheckAnswers(simulation.cluster);
    for (const std::string& violation : simulation.cluster.violations) {
      ADD_FAILURE() << "seed=" << seed << ": " << violation;
    }
  }
}

}  // namespace
}  // namespace gooseberryrock::control
