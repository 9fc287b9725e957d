// Faults of the replicated log, singly and in pairs, from a generated table.

#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <vector>

#include "simulated_cluster.h"

namespace gooseberryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct MatrixResult {
  uint64_t runs = 0;
  uint64_t steps = 0;
  uint64_t lease_reads = 0;
  uint64_t committed = 0;
  uint64_t without_progress = 0;
  std::vector<std::string> violations;
};

std::string Describe(const Fault& fault) {
  return std::to_string(static_cast<int>(fault.kind)) +
         (fault.at_leader ? "@leader" : "@follower");
}

// Whether proposals are committed again within 6 s after all faults ended.
bool ResumesProgress(SimulatedCluster& cluster) {
  const uint64_t before = cluster.last_answered_index;
  Run(cluster, seconds(6));
  return cluster.last_answered_index > before;
}

void RunCase(const std::vector<Fault>& faults,
             uint64_t seed,
             Breakage breakage,
             MatrixResult& result) {
  SimulatedCluster cluster(3, seed, breakage);
  Run(cluster, milliseconds(3500));
  std::string name = "seed " + std::to_string(seed);
  for (const Fault& fault : faults) {
    Schedule(cluster, fault);
    name += " " + Describe(fault);
  }
  Run(cluster, milliseconds(3500));
  Heal(cluster);
  const bool progress = ResumesProgress(cluster);
  CheckAnswers(cluster);
  ++result.runs;
  result.steps += cluster.steps;
  result.lease_reads += cluster.lease_reads;
  result.committed += cluster.committed.size();
  if (!cluster.violations.empty()) {
    // The later ones are mostly consequences of the first one.
    result.violations.push_back(name + ": " + cluster.violations.front());
  }
  // Two damaged disks leave no majority, which only an operator can repair.
  if (!progress && cluster.damaged_disks.size() < 2) {
    ++result.without_progress;
    std::cout << name << ": no progress\n";
  }
}

std::vector<Fault> AllFaults() {
  std::vector<Fault> faults;
  for (int kind = 0; kind < kFaultKindCount; ++kind) {
    for (bool at_leader : {true, false}) {
      faults.push_back({static_cast<FaultKind>(kind), at_leader,
                        milliseconds(0), milliseconds(1500)});
    }
  }
  return faults;
}

// Each fault alone, then each pair with a gap that the seed chooses. Stops at
// the first violation when the runtime is broken on purpose.
MatrixResult RunMatrix(uint64_t seeds, Breakage breakage) {
  MatrixResult result;
  const std::vector<Fault> faults = AllFaults();
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    for (size_t i = 0; i < faults.size(); ++i) {
      RunCase({faults[i]}, seed, breakage, result);
      for (size_t j = 0; j < faults.size(); ++j) {
        Fault second = faults[j];
        const uint64_t case_seed = seed + 1000 * (i * faults.size() + j);
        second.begin = milliseconds(case_seed % 7 * 150);
        RunCase({faults[i], second}, case_seed, breakage, result);
        if (breakage != Breakage::kNone && !result.violations.empty()) {
          return result;
        }
      }
    }
  }
  return result;
}

#ifdef GOOSEBERRYROCK_EXPECT_VIOLATION

// Guards against a matrix that would not notice that a mechanism is missing.
// The library is built with the mechanism removed.
TEST(FaultMatrixTest, NoticesMissingMechanism) {
  const MatrixResult result =
      RunMatrix(GOOSEBERRYROCK_EXPECT_VIOLATION, Breakage::kNone);
  ASSERT_FALSE(result.violations.empty());
  std::cout << result.violations.size()
            << " violations, first: " << result.violations.front() << "\n";
}

#else

// Guards against lost or changed entries, two leaders, stale reads and wrong
// answers under any single fault and any pair of faults.
TEST(FaultMatrixTest, HoldsUnderSingleFaultsAndPairs) {
  const MatrixResult result = RunMatrix(2, Breakage::kNone);
  std::cout << "fault matrix: " << AllFaults().size() << " faults, "
            << result.runs << " runs, " << result.steps << " steps, "
            << result.lease_reads << " lease reads, " << result.committed
            << " committed entries\n";
  for (const std::string& violation : result.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_EQ(result.without_progress, 0U);
}

class BreakageTest : public testing::TestWithParam<Breakage> {};

// Guards against a matrix that would not notice a runtime that breaks the rules
// at struct Effects.
TEST_P(BreakageTest, IsNoticed) {
  const MatrixResult result = RunMatrix(2, GetParam());
  ASSERT_FALSE(result.violations.empty());
  std::cout << "after " << result.runs << " runs: " << result.violations.front()
            << "\n";
}

INSTANTIATE_TEST_SUITE_P(All,
                         BreakageTest,
                         testing::Values(Breakage::kSendBeforeSync,
                                         Breakage::kForgetHardState,
                                         Breakage::kKeepStorageId,
                                         Breakage::kNoVotePauseAfterStart,
                                         Breakage::kLeaseCheckedBeforePause,
                                         Breakage::kNoDriftAllowance));

#endif

}  // namespace
}  // namespace gooseberryrock::consensus
