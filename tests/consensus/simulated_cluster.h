// A cluster of control VMs under a manual clock, with faults of the network,
// the disks, the processes and the clocks. Checks after each step what must
// always hold.

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
  // Crashes while an Effects is carried out, named by the step done last.
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
  // Hits the VM that leads when the fault begins, else another one.
  bool at_leader = true;
  Duration begin = {};
  Duration length = {};
};

// Ways in which the runtime may break the rules of struct Effects, to show that
// the checks notice.
enum class Breakage {
  kNone,
  kSendBeforeSync,
  kForgetHardState,
  kLeaseCheckedBeforePause,
};

struct Disk {
  std::string storage_id;
  StoredState stored;
};

struct SimulatedVm {
  NodeId id;
  Disk disk;
  // Earlier contents with their times, for roll-back.
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
  // Local and real time of the last change of the rate.
  SteadyTime local_base;
  SteadyTime real_base;
  ConsensusState state;
  uint64_t applied = 0;
  std::deque<std::function<void()>> while_paused;
};

struct CommittedEntry {
  LogEntry entry;
  // Hash of all entries up to this one, as the content of snapshots.
  uint64_t chain = 0;
};

struct SimulatedCluster {
  SimulatedCluster(int n, uint64_t seed, Breakage broken = Breakage::kNone);

  std::mt19937_64 random;
  Breakage breakage;
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
  // Payloads whose proposals were answered, by answer.
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
// Replaces the content of the disk of a VM that is down by an empty one.
void LoseDisk(SimulatedCluster& cluster, const NodeId& id);
void Schedule(SimulatedCluster& cluster, const Fault& fault);
// Runs until `duration` has passed or `max_steps` events are done.
void Run(SimulatedCluster& cluster,
         Duration duration,
         uint64_t max_steps = UINT64_MAX);
// Ends all network, process and clock faults and starts all VMs.
void Heal(SimulatedCluster& cluster);
std::optional<NodeId> FindLeader(const SimulatedCluster& cluster);
void ProposeAt(SimulatedCluster& cluster, const NodeId& id);
void ChangeMembershipAt(SimulatedCluster& cluster,
                        const NodeId& id,
                        MembershipAction action,
                        const NodeId& member);
// Checks answers against the committed entries.
void CheckAnswers(SimulatedCluster& cluster);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_
