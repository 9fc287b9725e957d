// Simulated cluster of control VMs with a manual clock and injected faults of
// network, disks, processes and clocks. Checks the safety invariants after each
// step.

#ifndef GOOSEBERRYROCK_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_
#define GOOSEBERRYROCK_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryrock/consensus/consensus.h"

namespace gooseberryrock::consensus {

enum class FaultKind {
  kLoss,
  kDelay,
  kDuplication,
  kReordering,
  kCutIncoming,
  kCutOutgoing,
  kIsolation,
  // Cuts the link between the target and one other VM.
  kCutLink,
  // Crashes during the execution of an Effects, named by the last step that was
  // completed.
  kCrashBeforeAll,
  kCrashBeforeSync,
  kCrashAfterSync,
  kCrashAfterSends,
  kCrashAfterApply,
  kPause,
  kLostDisk,
  kRolledBackDisk,
  kFastClock,
  kSlowClock,
  kTransfer,
};
inline constexpr int kFaultKindCount =
    static_cast<int>(FaultKind::kTransfer) + 1;

struct Fault {
  FaultKind kind = FaultKind::kLoss;
  // Targets the leader at the time the fault begins if true, otherwise a random
  // other VM.
  bool at_leader = true;
  Duration begin = {};
  Duration length = {};
};

// Deliberate violations of the rules at struct Effects, to verify that the
// checks detect them.
enum class RuntimeDefect {
  kNone,
  kSendBeforeSync,
  kSkipHardState,
  kLeaseCheckedBeforePause,
};

struct Disk {
  std::string storage_id;
  StoredState stored;
};

struct SimulatedVm {
  NodeId id;
  Disk disk;
  // Earlier disk contents with their times, for rollback.
  std::deque<std::pair<SteadyTime, Disk>> history;
  std::mt19937_64 random;
  bool alive = false;
  SteadyTime paused_until;
  SteadyTime wake_at = SteadyTime::max();
  std::optional<FaultKind> armed_crash;
  Duration armed_downtime = {};
  bool cut_incoming = false;
  bool cut_outgoing = false;
  double clock_rate = 1.0;
  // Local and real time of the last clock rate change.
  SteadyTime local_base;
  SteadyTime real_base;
  ConsensusState state;
  uint64_t applied = 0;
  std::deque<std::function<void()>> deferred_while_paused;
};

struct CommittedEntry {
  LogEntry entry;
  // Hash of all entries up to this one; used as snapshot content.
  uint64_t chain = 0;
};

struct SimulatedCluster {
  SimulatedCluster(int n,
                   uint64_t seed,
                   RuntimeDefect runtime_defect = RuntimeDefect::kNone);

  std::mt19937_64 random;
  RuntimeDefect defect;
  ConsensusConfig config;
  SteadyTime now;
  std::map<NodeId, SimulatedVm> vms;
  std::multimap<SteadyTime, std::function<void()>> events;
  uint64_t steps = 0;
  std::set<std::pair<NodeId, NodeId>> cut_links;
  double loss = 0;
  double duplication = 0;
  Duration extra_delay = {};
  Duration jitter = {};
  bool operator_active = true;

  std::vector<std::string> violations;
  std::map<uint64_t, NodeId> leader_of_term;
  std::map<uint64_t, CommittedEntry> committed;
  // Status of each answered proposal, by payload.
  std::map<std::string, ProposalStatus> answers;
  uint64_t last_answered_index = 0;
  std::map<ProposalId, std::string> proposed;
  ProposalId next_proposal = 1;
  uint64_t lease_reads = 0;
  uint64_t next_storage = 1;
  std::set<NodeId> damaged_disks;
};

void Start(SimulatedCluster& cluster, const NodeId& id);
void CrashVm(SimulatedCluster& cluster,
             const NodeId& id,
             std::optional<Duration> restart_after);
// Replaces the disk of a VM that is down by an empty one.
void LoseDisk(SimulatedCluster& cluster, const NodeId& id);
// Stops the VM without ending it; messages and timers wait for `length`.
void PauseVm(SimulatedCluster& cluster, const NodeId& id, Duration length);
// The time on the VM's own clock.
SteadyTime LocalTime(const SimulatedCluster& cluster, const SimulatedVm& vm);
void Schedule(SimulatedCluster& cluster, const Fault& fault);
// Runs until `duration` has passed or `max_steps` events were processed.
void Run(SimulatedCluster& cluster,
         Duration duration,
         uint64_t max_steps = UINT64_MAX);
// Clears all network, process and clock faults and starts all VMs.
void Heal(SimulatedCluster& cluster);
std::optional<NodeId> FindLeader(const SimulatedCluster& cluster);
void ProposeAt(SimulatedCluster& cluster, const NodeId& id);
void ChangeMembershipAt(SimulatedCluster& cluster,
                        const NodeId& id,
                        MembershipAction action,
                        const NodeId& member);
// Checks the recorded answers against the committed entries.
void CheckAnswers(SimulatedCluster& cluster);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_
