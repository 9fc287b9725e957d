// Simulated cluster of control VMs with a manual clock.

#include "simulated_cluster.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::consensus {

namespace {

using std::chrono::milliseconds;

void ReportViolation(SimulatedCluster& cluster, std::string text) {
  cluster.violations.push_back(std::move(text));
}

void RunAfter(SimulatedCluster& cluster,
              Duration delay,
              std::function<void()> f) {
  cluster.events.emplace(cluster.now + delay, std::move(f));
}

void Deliver(SimulatedCluster& cluster, const Message& message);

double Fraction(SimulatedCluster& cluster) {
  return std::uniform_real_distribution<double>(0, 1)(cluster.random);
}

void Send(SimulatedCluster& cluster, const std::vector<Message>& messages) {
  for (const Message& message : messages) {
    if (cluster.vms.at(message.from).cut_outgoing ||
        cluster.cut_links.count({message.from, message.to}) > 0 ||
        Fraction(cluster) < cluster.loss) {
      continue;
    }
    const int copies = Fraction(cluster) < cluster.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration spread = milliseconds(2) + cluster.jitter;
      const auto delay =
          milliseconds(1) + cluster.extra_delay +
          std::chrono::duration_cast<Duration>(spread * Fraction(cluster));
      RunAfter(cluster, delay,
               [&cluster, message] { Deliver(cluster, message); });
    }
  }
}

void Store(SimulatedCluster& cluster, SimulatedVm& vm, const Effects& effects) {
  StoredState& stored = vm.disk.stored;
  if (effects.install_snapshot) {
    stored.snapshot = *effects.install_snapshot;
    const Position last = stored.snapshot.last;
    const bool holds_last = std::any_of(
        stored.entries.begin(), stored.entries.end(),
        [&](const LogEntry& entry) { return entry.position == last; });
    std::erase_if(stored.entries, [&](const LogEntry& entry) {
      return !holds_last || entry.position.index <= last.index;
    });
  }
  if (effects.truncate_from) {
    std::erase_if(stored.entries, [&](const LogEntry& entry) {
      return entry.position.index >= *effects.truncate_from;
    });
  }
  stored.entries.insert(stored.entries.end(), effects.append.begin(),
                        effects.append.end());
  if (effects.hard_state && cluster.defect != RuntimeDefect::kSkipHardState) {
    stored.hard_state = *effects.hard_state;
  }
  vm.history.emplace_back(cluster.now, vm.disk);
  while (vm.history.size() > 40) {
    vm.history.pop_front();
  }
}

// Snapshots exceed the chunk size, so that a transfer takes several messages.
std::string SnapshotData(uint64_t chain) {
  return std::to_string(chain) + std::string(40, 'x');
}

void CheckCommitted(SimulatedCluster& cluster,
                    SimulatedVm& vm,
                    const LogEntry& entry) {
  const uint64_t index = entry.position.index;
  if (index != vm.applied + 1) {
    ReportViolation(cluster, vm.id.value + " applies " + std::to_string(index) +
                                 " after " + std::to_string(vm.applied));
  }
  vm.applied = index;
  auto it = cluster.committed.find(index);
  if (it == cluster.committed.end()) {
    const uint64_t before =
        index > 1 ? cluster.committed[index - 1].chain : uint64_t{0};
    cluster.committed[index] = {
        entry,
        Hash64(entry.payload + std::to_string(entry.position.term), before)};
  } else if (it->second.entry != entry) {
    ReportViolation(cluster, "committed entry " + std::to_string(index) +
                                 " changed at " + vm.id.value);
  }
}

void Apply(SimulatedCluster& cluster, SimulatedVm& vm, const Effects& effects) {
  if (effects.restore) {
    const uint64_t index = effects.restore->last.index;
    if (index < vm.applied) {
      ReportViolation(cluster, "state of " + vm.id.value + " went back");
    }
    if (effects.restore->data != SnapshotData(cluster.committed[index].chain)) {
      ReportViolation(cluster, "wrong snapshot at " + vm.id.value);
    }
    vm.applied = index;
  }
  for (const LogEntry& entry : effects.committed) {
    CheckCommitted(cluster, vm, entry);
  }
  for (const RefusedStorage& refused : effects.refused) {
    if (cluster.damaged_disks.count(refused.node) == 0) {
      ReportViolation(cluster,
                      "intact disk of " + refused.node.value + " refused");
    }
  }
  for (const ProposalOutcome& outcome : effects.outcomes) {
    auto it = cluster.proposed.find(outcome.id);
    if (it == cluster.proposed.end()) {
      continue;
    }
    cluster.answers[it->second] = outcome.status;
    if (outcome.status == ProposalStatus::kCommitted) {
      cluster.last_answered_index =
          std::max(cluster.last_answered_index, outcome.position.index);
    }
  }
}

void CheckLeader(SimulatedCluster& cluster, const SimulatedVm& vm) {
  if (vm.state.role != Role::kLeader) {
    return;
  }
  const uint64_t term = vm.state.hard_state.term;
  const NodeId& first =
      cluster.leader_of_term.emplace(term, vm.id).first->second;
  if (first != vm.id) {
    ReportViolation(cluster, "two leaders in term " + std::to_string(term));
  }
}

void Wake(SimulatedCluster& cluster, const NodeId& id);

void ScheduleWake(SimulatedCluster& cluster, SimulatedVm& vm) {
  const auto local = NextTick(vm.state) - LocalTime(cluster, vm);
  const std::chrono::duration<double, std::nano> delay =
      std::max<Duration>(local, Duration(0)) / vm.clock_rate;
  const SteadyTime at =
      cluster.now + std::chrono::duration_cast<Duration>(delay) + Duration(1);
  if (at < vm.wake_at) {
    vm.wake_at = at;
    RunAfter(cluster, at - cluster.now,
             [&cluster, id = vm.id] { Wake(cluster, id); });
  }
}

// Crashes the VM if a crash after step `done` is armed. Returns whether it did.
bool CrashesAt(SimulatedCluster& cluster, SimulatedVm& vm, FaultKind done) {
  if (vm.armed_crash != done) {
    return false;
  }
  vm.armed_crash.reset();
  CrashVm(cluster, vm.id, vm.armed_downtime);
  return true;
}

void ExecuteEffects(SimulatedCluster& cluster,
                    SimulatedVm& vm,
                    Effects effects) {
  while (true) {
    CheckLeader(cluster, vm);
    // Crashes are only simulated for Effects that sync data.
    const bool armed = effects.sync.has_value();
    if (armed && CrashesAt(cluster, vm, FaultKind::kCrashBeforeAll)) {
      return;
    }
    Send(cluster, effects.send_at_once);
    if (cluster.defect == RuntimeDefect::kSendBeforeSync) {
      Send(cluster, effects.send_after_sync);
      effects.send_after_sync.clear();
    }
    if (armed && CrashesAt(cluster, vm, FaultKind::kCrashBeforeSync)) {
      return;
    }
    if (effects.sync) {
      Store(cluster, vm, effects);
    }
    if (armed && CrashesAt(cluster, vm, FaultKind::kCrashAfterSync)) {
      return;
    }
    Send(cluster, effects.send_after_sync);
    if (armed && CrashesAt(cluster, vm, FaultKind::kCrashAfterSends)) {
      return;
    }
    Apply(cluster, vm, effects);
    if (armed && CrashesAt(cluster, vm, FaultKind::kCrashAfterApply)) {
      return;
    }
    if (effects.sync) {
      effects = OnPersisted(vm.state, *effects.sync, LocalTime(cluster, vm));
    } else if (IsSnapshotDue(vm.state)) {
      const uint64_t chain = cluster.committed[vm.applied].chain;
      effects = TakeSnapshot(vm.state, SnapshotData(chain));
    } else {
      break;
    }
  }
  ScheduleWake(cluster, vm);
}

// Runs `f` on the VM immediately, or at the end of its pause.
void OnVm(SimulatedCluster& cluster,
          const NodeId& id,
          const std::function<void(SimulatedVm&)>& f) {
  SimulatedVm& vm = cluster.vms.at(id);
  if (!vm.alive) {
    return;
  }
  if (cluster.now < vm.paused_until) {
    vm.deferred_while_paused.emplace_back(
        [&cluster, id, f] { OnVm(cluster, id, f); });
    return;
  }
  f(vm);
}

void Deliver(SimulatedCluster& cluster, const Message& message) {
  if (cluster.vms.at(message.to).cut_incoming) {
    return;
  }
  OnVm(cluster, message.to, [&cluster, message](SimulatedVm& vm) {
    ExecuteEffects(
        cluster, vm,
        HandleMessage(vm.state, message, LocalTime(cluster, vm), vm.random));
  });
}

void Wake(SimulatedCluster& cluster, const NodeId& id) {
  OnVm(cluster, id, [&cluster](SimulatedVm& vm) {
    if (cluster.now >= vm.wake_at) {
      vm.wake_at = SteadyTime::max();
      ExecuteEffects(cluster, vm,
                     Tick(vm.state, LocalTime(cluster, vm), vm.random));
    }
  });
}

// Performs a linearizable read if the VM has the lease. The read must observe
// all proposals answered before.
void ReadAt(SimulatedCluster& cluster, const NodeId& id) {
  OnVm(cluster, id, [&cluster](SimulatedVm& vm) {
    if (!HasLease(vm.state, LocalTime(cluster, vm))) {
      return;
    }
    ++cluster.lease_reads;
    if (vm.applied < cluster.last_answered_index) {
      ReportViolation(cluster, "stale read at " + vm.id.value);
    }
  });
}

// Simulates a runtime that checks the lease before a pause and answers after
// it.
void ReadWithoutSecondCheck(SimulatedCluster& cluster, const NodeId& id) {
  SimulatedVm& vm = cluster.vms.at(id);
  if (vm.alive && HasLease(vm.state, LocalTime(cluster, vm))) {
    vm.deferred_while_paused.emplace_back([&cluster, id] {
      if (cluster.vms.at(id).applied < cluster.last_answered_index) {
        ReportViolation(cluster, "stale read after a pause at " + id.value);
      }
    });
  }
}

void SetClockRate(SimulatedCluster& cluster, SimulatedVm& vm, double rate) {
  vm.local_base = LocalTime(cluster, vm);
  vm.real_base = cluster.now;
  vm.clock_rate = rate;
  vm.wake_at = SteadyTime::max();
  if (vm.alive) {
    ScheduleWake(cluster, vm);
  }
}

void RollBackDisk(SimulatedCluster& cluster, const NodeId& id) {
  SimulatedVm& vm = cluster.vms.at(id);
  cluster.damaged_disks.insert(id);
  const size_t back =
      1 + cluster.random() % std::max<size_t>(vm.history.size(), 1);
  if (back < vm.history.size()) {
    vm.disk = vm.history[vm.history.size() - 1 - back].second;
  }
}

NodeId ChooseTarget(SimulatedCluster& cluster, bool at_leader) {
  const auto leader = FindLeader(cluster);
  if (at_leader && leader) {
    return *leader;
  }
  std::vector<NodeId> others;
  for (const auto& [id, vm] : cluster.vms) {
    if (id != leader) {
      others.push_back(id);
    }
  }
  return others[cluster.random() % others.size()];
}

void InjectFault(SimulatedCluster& cluster, const Fault& fault) {
  const NodeId id = ChooseTarget(cluster, fault.at_leader);
  SimulatedVm& vm = cluster.vms.at(id);
  switch (fault.kind) {
    case FaultKind::kLoss:
      cluster.loss = 0.3;
      break;
    case FaultKind::kDelay:
      cluster.extra_delay = milliseconds(120);
      break;
    case FaultKind::kDuplication:
      cluster.duplication = 0.5;
      break;
    case FaultKind::kReordering:
      cluster.jitter = milliseconds(150);
      break;
    case FaultKind::kCutIncoming:
      vm.cut_incoming = true;
      break;
    case FaultKind::kCutOutgoing:
      vm.cut_outgoing = true;
      break;
    case FaultKind::kIsolation:
      vm.cut_incoming = vm.cut_outgoing = true;
      break;
    case FaultKind::kCutLink: {
      NodeId other = id;
      while (other == id) {
        other = ChooseTarget(cluster, false);
      }
      cluster.cut_links = {{id, other}, {other, id}};
      break;
    }
    case FaultKind::kCrashBeforeAll:
    case FaultKind::kCrashBeforeSync:
    case FaultKind::kCrashAfterSync:
    case FaultKind::kCrashAfterSends:
    case FaultKind::kCrashAfterApply:
      vm.armed_crash = fault.kind;
      vm.armed_downtime = fault.length;
      break;
    case FaultKind::kPause:
      PauseVm(cluster, id, fault.length);
      break;
    case FaultKind::kLostDisk:
      CrashVm(cluster, id, fault.length);
      LoseDisk(cluster, id);
      break;
    case FaultKind::kRolledBackDisk:
      CrashVm(cluster, id, milliseconds(20));
      RollBackDisk(cluster, id);
      break;
    case FaultKind::kFastClock:
      SetClockRate(cluster, vm, 1.05);
      break;
    case FaultKind::kSlowClock:
      SetClockRate(cluster, vm, 0.95);
      break;
    case FaultKind::kTransfer:
      OnVm(cluster, id, [&cluster](SimulatedVm& it) {
        ExecuteEffects(cluster, it,
                       TransferLeadership(it.state, LocalTime(cluster, it)));
      });
      break;
  }
}

// Simulates an operator who replaces VMs with excluded disks, one change at a
// time.
void RunOperator(SimulatedCluster& cluster) {
  RunAfter(cluster, milliseconds(250), [&cluster] { RunOperator(cluster); });
  const auto leader = FindLeader(cluster);
  if (!leader || !cluster.operator_active) {
    return;
  }
  const auto members = cluster.vms.at(*leader).state.membership.members;
  for (auto& [id, vm] : cluster.vms) {
    if (vm.alive && vm.state.hard_state.suspended) {
      CrashVm(cluster, id, milliseconds(50));
      LoseDisk(cluster, id);
      return;
    }
    auto it = members.find(id);
    if (it == members.end()) {
      ChangeMembershipAt(cluster, *leader, MembershipAction::kAddLearner, id);
    } else if (!it->second.voter) {
      ChangeMembershipAt(cluster, *leader, MembershipAction::kPromote, id);
    } else if (!it->second.storage_id.empty() &&
               it->second.storage_id != vm.disk.storage_id) {
      ChangeMembershipAt(cluster, *leader, MembershipAction::kRemove, id);
    } else {
      continue;
    }
    return;
  }
}

void RunLoad(SimulatedCluster& cluster) {
  RunAfter(cluster, milliseconds(10), [&cluster] { RunLoad(cluster); });
  const bool propose =
      cluster.now.time_since_epoch() % milliseconds(20) == milliseconds(0);
  for (const auto& [id, vm] : cluster.vms) {
    ReadAt(cluster, id);
    if (propose && vm.alive && vm.state.role == Role::kLeader) {
      ProposeAt(cluster, id);
    }
  }
}

}  // namespace

SimulatedCluster::SimulatedCluster(int n,
                                   uint64_t seed,
                                   RuntimeDefect runtime_defect)
    : random(seed), defect(runtime_defect), now(std::chrono::hours(1)) {
  config.snapshot_interval = 40;
  config.retained_entries = 10;
  config.max_snapshot_chunk_bytes = 16;
  config.max_append_entries = 3;
  config.max_in_flight = 2;
  std::map<NodeId, std::string> addresses;
  for (int i = 0; i < n; ++i) {
    addresses[NodeId{std::string(1, static_cast<char>('a' + i))}] = "";
  }
  for (const auto& [id, address] : addresses) {
    SimulatedVm& vm = vms[id];
    vm.id = id;
    vm.random.seed(random());
    vm.disk.storage_id = "disk" + std::to_string(next_storage++);
    vm.disk.stored.snapshot.membership = InitialMembership(addresses);
    vm.local_base = vm.real_base = now;
    // Clock rates differ within the limit given by clock_drift.
    vm.clock_rate = 0.95 + 0.05 * static_cast<double>(random() % 3);
    Start(*this, id);
  }
  RunLoad(*this);
  RunOperator(*this);
}

SteadyTime LocalTime(const SimulatedCluster& cluster, const SimulatedVm& vm) {
  const std::chrono::duration<double, std::nano> passed =
      (cluster.now - vm.real_base) * vm.clock_rate;
  return vm.local_base + std::chrono::duration_cast<Duration>(passed);
}

void Start(SimulatedCluster& cluster, const NodeId& id) {
  SimulatedVm& vm = cluster.vms.at(id);
  if (vm.alive) {
    return;
  }
  vm.alive = true;
  vm.wake_at = SteadyTime::max();
  const SteadyTime local = LocalTime(cluster, vm);
  vm.state = StartConsensus(id, vm.disk.storage_id, vm.disk.stored,
                            cluster.config, local, vm.random);
  vm.applied = vm.disk.stored.snapshot.last.index;
  ExecuteEffects(cluster, vm, Tick(vm.state, local, vm.random));
}

void CrashVm(SimulatedCluster& cluster,
             const NodeId& id,
             std::optional<Duration> restart_after) {
  SimulatedVm& vm = cluster.vms.at(id);
  vm.alive = false;
  vm.deferred_while_paused.clear();
  vm.paused_until = {};
  if (restart_after) {
    RunAfter(cluster, *restart_after, [&cluster, id] { Start(cluster, id); });
  }
}

void LoseDisk(SimulatedCluster& cluster, const NodeId& id) {
  SimulatedVm& vm = cluster.vms.at(id);
  cluster.damaged_disks.insert(id);
  Disk disk;
  disk.storage_id = "disk" + std::to_string(cluster.next_storage++);
  // The VM restarts with the initial settings, which the operator has not
  // changed.
  std::map<NodeId, std::string> addresses;
  for (const auto& [other, it] : cluster.vms) {
    addresses[other] = "";
  }
  disk.stored.snapshot.membership = InitialMembership(addresses);
  vm.disk = disk;
  vm.history.clear();
}

void PauseVm(SimulatedCluster& cluster, const NodeId& id, Duration length) {
  SimulatedVm& vm = cluster.vms.at(id);
  if (cluster.defect == RuntimeDefect::kLeaseCheckedBeforePause) {
    ReadWithoutSecondCheck(cluster, id);
  }
  vm.paused_until = cluster.now + length;
  // After the pause, a read is answered first, then messages and timers are
  // handled.
  RunAfter(cluster, length, [&cluster, id] {
    ReadAt(cluster, id);
    auto waiting = std::move(cluster.vms.at(id).deferred_while_paused);
    cluster.vms.at(id).deferred_while_paused.clear();
    for (const auto& f : waiting) {
      f();
    }
  });
}

void Schedule(SimulatedCluster& cluster, const Fault& fault) {
  RunAfter(cluster, fault.begin,
           [&cluster, fault] { InjectFault(cluster, fault); });
}

void Run(SimulatedCluster& cluster, Duration duration, uint64_t max_steps) {
  const SteadyTime end = cluster.now + duration;
  for (uint64_t n = 0; n < max_steps && !cluster.events.empty(); ++n) {
    auto it = cluster.events.begin();
    if (it->first > end) {
      break;
    }
    cluster.now = it->first;
    const auto event = std::move(it->second);
    cluster.events.erase(it);
    event();
    ++cluster.steps;
  }
}

void Heal(SimulatedCluster& cluster) {
  cluster.loss = cluster.duplication = 0;
  cluster.extra_delay = cluster.jitter = {};
  cluster.cut_links.clear();
  for (auto& [id, vm] : cluster.vms) {
    vm.cut_incoming = vm.cut_outgoing = false;
    vm.armed_crash.reset();
    SetClockRate(cluster, vm, 1.0);
    Start(cluster, id);
  }
}

std::optional<NodeId> FindLeader(const SimulatedCluster& cluster) {
  std::optional<NodeId> leader;
  uint64_t term = 0;
  for (const auto& [id, vm] : cluster.vms) {
    if (vm.alive && vm.state.role == Role::kLeader &&
        vm.state.hard_state.term > term) {
      term = vm.state.hard_state.term;
      leader = id;
    }
  }
  return leader;
}

void ProposeAt(SimulatedCluster& cluster, const NodeId& id) {
  OnVm(cluster, id, [&cluster](SimulatedVm& vm) {
    std::vector<Proposal> proposals;
    for (int i = 0; i < 2; ++i) {
      const ProposalId proposal = cluster.next_proposal++;
      cluster.proposed[proposal] = "p" + std::to_string(proposal);
      proposals.push_back({proposal, cluster.proposed[proposal]});
    }
    ExecuteEffects(
        cluster, vm,
        Propose(vm.state, std::move(proposals), LocalTime(cluster, vm)));
  });
}

void ChangeMembershipAt(SimulatedCluster& cluster,
                        const NodeId& id,
                        MembershipAction action,
                        const NodeId& member) {
  OnVm(cluster, id, [&cluster, action, member](SimulatedVm& vm) {
    MembershipChange change;
    change.id = cluster.next_proposal++;
    change.action = action;
    change.node = member;
    change.storage_id = cluster.vms.at(member).disk.storage_id;
    ExecuteEffects(cluster, vm,
                   ChangeMembership(vm.state, change, LocalTime(cluster, vm)));
  });
}

void CheckAnswers(SimulatedCluster& cluster) {
  std::map<std::string, int> times;
  for (const auto& [index, it] : cluster.committed) {
    if (it.entry.kind == EntryKind::kCommand) {
      ++times[it.entry.payload];
    }
  }
  for (const auto& [payload, status] : cluster.answers) {
    const int expected = status == ProposalStatus::kCommitted ? 1 : 0;
    if (status != ProposalStatus::kUnknown && times[payload] != expected) {
      ReportViolation(cluster, "answer to " + payload + " is wrong");
    }
  }
  // The leader must have all committed entries.
  for (const auto& [id, vm] : cluster.vms) {
    if (vm.alive && id == FindLeader(cluster) && !cluster.committed.empty() &&
        LastPosition(vm.state).index < cluster.committed.rbegin()->first) {
      ReportViolation(cluster,
                      "leader " + id.value + " lacks committed entries");
    }
  }
}

}  // namespace gooseberryrock::consensus
