// Fault injection matrix: single faults and pairs of faults.

#include <gtest/gtest.h>

#include <array>
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

// Returns whether proposals are committed within 6 s after all faults ended.
bool ResumesProgress(SimulatedCluster& cluster) {
  const uint64_t before = cluster.last_answered_index;
  Run(cluster, seconds(6));
  return cluster.last_answered_index > before;
}

void RunCase(const std::vector<Fault>& faults,
             uint64_t seed,
             RuntimeDefect defect,
             MatrixResult& result) {
  SimulatedCluster cluster(3, seed, defect);
  // Long enough for the first election; the offset varies the phase relative to
  // the proposals.
  Run(cluster, milliseconds(3500 + seed % 20));
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
    // Later violations are mostly consequences of the first.
    result.violations.push_back(name + ": " + cluster.violations.front());
  }
  // Two damaged disks leave no majority; recovery then requires an operator.
  if (!progress && cluster.damaged_disks.size() < 2) {
    ++result.without_progress;
    std::cout << name << ": no progress\n";
  }
}

std::vector<Fault> Faults(const std::vector<FaultKind>& kinds) {
  std::vector<Fault> faults;
  faults.reserve(2 * kinds.size());
  for (FaultKind kind : kinds) {
    for (bool at_leader : {true, false}) {
      faults.push_back({kind, at_leader, milliseconds(0), milliseconds(1500)});
    }
  }
  return faults;
}

[[maybe_unused]] std::vector<FaultKind> AllKinds() {
  std::vector<FaultKind> kinds;
  kinds.reserve(kFaultKindCount);
  for (int kind = 0; kind < kFaultKindCount; ++kind) {
    kinds.push_back(static_cast<FaultKind>(kind));
  }
  return kinds;
}

// Durations of crashes, pauses and disk losses.
constexpr std::array<Duration, 3> kLengths = {
    milliseconds(20), milliseconds(300), milliseconds(1500)};

// Runs each fault alone and each pair of faults with a gap derived from the
// seed.
MatrixResult RunMatrix(const std::vector<FaultKind>& kinds,
                       uint64_t seeds,
                       RuntimeDefect defect,
                       bool stop_at_violation) {
  MatrixResult result;
  const std::vector<Fault> faults = Faults(kinds);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    for (size_t i = 0; i < faults.size(); ++i) {
      RunCase({faults[i]}, seed, defect, result);
      for (size_t j = 0; j < faults.size(); ++j) {
        Fault second = faults[j];
        const uint64_t case_seed = seed + 1000 * (i * faults.size() + j);
        second.begin = milliseconds(case_seed % 7 * 150);
        second.length = kLengths[case_seed / 7 % kLengths.size()];
        RunCase({faults[i], second}, case_seed, defect, result);
        if (stop_at_violation && !result.violations.empty()) {
          return result;
        }
      }
    }
  }
  return result;
}

// Timing-dependent combinations that run with many seeds: the lease of an
// isolated leader, a leadership transfer whose old leader gets no messages from
// the new one, and disk faults.
const std::vector<FaultKind> kLeaseFaults = {
    FaultKind::kCutLink, FaultKind::kIsolation, FaultKind::kCrashAfterSync};
const std::vector<FaultKind> kTransferFaults = {FaultKind::kCutIncoming,
                                                FaultKind::kTransfer};
const std::vector<FaultKind> kDiskFaults = {
    FaultKind::kLostDisk, FaultKind::kRolledBackDisk,
    FaultKind::kCrashBeforeSync, FaultKind::kIsolation};
constexpr uint64_t kFocusedSeeds = 20;

void PrintFirst(const MatrixResult& result) {
  std::cout << "after " << result.runs << " runs: " << result.violations.front()
            << "\n";
}

[[maybe_unused]] void ExpectIntact(const std::string& name,
                                   const MatrixResult& result) {
  std::cout << name << ": " << result.runs << " runs, " << result.steps
            << " steps, " << result.lease_reads << " lease reads, "
            << result.committed << " committed entries\n";
  for (const std::string& violation : result.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_EQ(result.without_progress, 0U);
}

#ifdef GOOSEBERRYROCK_MUTANT_FAULTS

// Guards against a matrix that does not detect a missing safety mechanism. The
// library under test is built with the mechanism removed.
TEST(FaultMatrixTest, DetectsMissingMechanism) {
  const MatrixResult result = RunMatrix(
      GOOSEBERRYROCK_MUTANT_FAULTS, kFocusedSeeds, RuntimeDefect::kNone, true);
  ASSERT_FALSE(result.violations.empty()) << result.runs << " runs";
  PrintFirst(result);
}

#else

// Guards against lost or changed entries, two leaders, stale reads and wrong
// answers under each single fault and each pair of faults.
TEST(FaultMatrixTest, HoldsUnderSingleFaultsAndPairs) {
  ExpectIntact("all faults",
               RunMatrix(AllKinds(), 1, RuntimeDefect::kNone, false));
}

// Runs the focused combinations without mutations. This also shows that the
// violations in the mutation tests are caused by the mutations.
TEST(FaultMatrixTest, HoldsUnderFocusedPairs) {
  ExpectIntact("lease faults", RunMatrix(kLeaseFaults, kFocusedSeeds,
                                         RuntimeDefect::kNone, false));
  ExpectIntact("transfer faults", RunMatrix(kTransferFaults, kFocusedSeeds,
                                            RuntimeDefect::kNone, false));
  ExpectIntact("disk faults", RunMatrix(kDiskFaults, kFocusedSeeds,
                                        RuntimeDefect::kNone, false));
}

struct RuntimeDefectCase {
  RuntimeDefect defect;
  std::vector<FaultKind> kinds;
};

class RuntimeDefectTest : public testing::TestWithParam<RuntimeDefectCase> {};

// Guards against a matrix that does not detect a runtime that violates the
// rules at struct Effects.
TEST_P(RuntimeDefectTest, IsDetected) {
  const MatrixResult result =
      RunMatrix(GetParam().kinds, kFocusedSeeds, GetParam().defect, true);
  ASSERT_FALSE(result.violations.empty()) << result.runs << " runs";
  PrintFirst(result);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RuntimeDefectTest,
    testing::Values(
        RuntimeDefectCase{RuntimeDefect::kSendBeforeSync, kDiskFaults},
        RuntimeDefectCase{RuntimeDefect::kSkipHardState, kDiskFaults},
        RuntimeDefectCase{RuntimeDefect::kLeaseCheckedBeforePause,
                          {FaultKind::kPause, FaultKind::kIsolation}}));

#endif

}  // namespace
}  // namespace gooseberryrock::consensus
