// Control VMs in virtual time.

#include "repair_simulation.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "gooseberryrock/control/membership_view.h"

namespace gooseberryrock::control {

namespace {

using consensus::SimulatedCluster;
using consensus::SimulatedVm;
using std::chrono::milliseconds;

constexpr Duration kHelloDelay = milliseconds(2);
constexpr Duration kShutdownCheck = milliseconds(20);
constexpr int kVms = 3;

void After(SimulatedCluster& cluster,
           Duration delay,
           std::function<void()> event) {
  cluster.events.emplace(cluster.now + delay, std::move(event));
}

bool IsRunning(const SimulatedCluster& cluster, const SimulatedVm& vm) {
  return vm.alive && cluster.now >= vm.paused_until;
}

void ReceiveHello(RepairSimulation& simulation,
                  const NodeId& to,
                  const NodeId& from,
                  VmContact contact) {
  const SimulatedVm& vm = simulation.cluster.vms.at(to);
  if (IsRunning(simulation.cluster, vm) && !vm.cut_incoming) {
    contact.last_contact = LocalTime(simulation.cluster, vm);
    simulation.contacts[to][from] = std::move(contact);
  }
}

void SendHello(RepairSimulation& simulation, const NodeId& from) {
  SimulatedCluster& cluster = simulation.cluster;
  const SimulatedVm& vm = cluster.vms.at(from);
  if (!IsRunning(cluster, vm) || vm.cut_outgoing) {
    return;
  }
  const VmContact contact = {
      vm.disk.storage_id, {}, simulation.leaving.contains(from)};
  for (const auto& [to, other] : cluster.vms) {
    if (to != from) {
      After(cluster, kHelloDelay, [&simulation, to = to, from, contact] {
        ReceiveHello(simulation, to, from, contact);
      });
    }
  }
}

void SendHellos(RepairSimulation& simulation, const NodeId& from) {
  After(simulation.cluster, simulation.policy.hello_interval,
        [&simulation, from] { SendHellos(simulation, from); });
  SendHello(simulation, from);
}

MembershipView ViewOf(const RepairSimulation& simulation, const NodeId& id) {
  const SimulatedVm& vm = simulation.cluster.vms.at(id);
  return {id,
          vm.state.membership,
          CaughtUpMembers(vm.state),
          simulation.contacts.at(id),
          simulation.listening_since.at(id),
          LocalTime(simulation.cluster, vm)};
}

void Repair(RepairSimulation& simulation, const NodeId& id) {
  SimulatedCluster& cluster = simulation.cluster;
  After(cluster, simulation.policy.check_interval,
        [&simulation, id] { Repair(simulation, id); });
  const SimulatedVm& vm = cluster.vms.at(id);
  if (!IsRunning(cluster, vm)) {
    return;
  }
  const SteadyTime now = LocalTime(cluster, vm);
  if (now - simulation.last_check[id] >= simulation.policy.presence_timeout) {
    simulation.listening_since[id] = now;
  }
  simulation.last_check[id] = now;
  if (vm.state.role != consensus::Role::kLeader) {
    return;
  }
  if (const auto change =
          NextRepair(ViewOf(simulation, id), simulation.policy)) {
    ChangeMembershipAt(cluster, id, change->action, change->node);
  }
}

void RunMaintenance(RepairSimulation& simulation, const NodeId& id) {
  SendHellos(simulation, id);
  Repair(simulation, id);
}

// A process that starts has heard of no other VM yet.
void ForgetContacts(RepairSimulation& simulation, const NodeId& id) {
  simulation.leaving.erase(id);
  simulation.listening_since[id] =
      LocalTime(simulation.cluster, simulation.cluster.vms.at(id));
  simulation.contacts[id].clear();
  for (const auto& [other, vm] : simulation.cluster.vms) {
    if (other != id) {
      simulation.contacts[id][other] = {};
    }
  }
}

void StartAfter(RepairSimulation& simulation,
                const NodeId& id,
                Duration delay) {
  After(simulation.cluster, delay, [&simulation, id] {
    ForgetContacts(simulation, id);
    Start(simulation.cluster, id);
  });
}

}  // namespace

RepairSimulation::RepairSimulation(const RepairPolicy& repair_policy,
                                   uint64_t seed)
    : policy(repair_policy), cluster(kVms, seed) {
  cluster.operator_active = false;
  for (const auto& [id, vm] : cluster.vms) {
    ForgetContacts(*this, id);
    RunMaintenance(*this, id);
  }
}

void AddVm(RepairSimulation& simulation, const NodeId& id) {
  SimulatedCluster& cluster = simulation.cluster;
  SimulatedVm& vm = cluster.vms[id];
  vm.id = id;
  vm.random.seed(cluster.random());
  vm.disk.storage_id = "disk" + std::to_string(cluster.next_storage++);
  vm.local_base = vm.real_base = cluster.now;
  ForgetContacts(simulation, id);
  Start(cluster, id);
  RunMaintenance(simulation, id);
}

void StopVm(RepairSimulation& simulation, const NodeId& id) {
  CrashVm(simulation.cluster, id, std::nullopt);
}

void RestartVm(RepairSimulation& simulation, const NodeId& id, Duration after) {
  StopVm(simulation, id);
  StartAfter(simulation, id, after);
}

void RestartWithEmptyDisk(RepairSimulation& simulation,
                          const NodeId& id,
                          Duration after) {
  StopVm(simulation, id);
  LoseDisk(simulation.cluster, id);
  // The VM joins an existing log and knows no member.
  simulation.cluster.vms.at(id).disk.stored.snapshot.membership = {};
  StartAfter(simulation, id, after);
}

void ShutDownVm(RepairSimulation& simulation,
                const NodeId& id,
                Duration timeout) {
  SimulatedCluster& cluster = simulation.cluster;
  simulation.leaving.insert(id);
  SendHello(simulation, id);
  if (FindLeader(cluster) == id) {
    Schedule(cluster, {consensus::FaultKind::kTransfer});
  }
  const SteadyTime end = cluster.now + timeout;
  std::optional<SteadyTime> promoted_at;
  while (cluster.now < end && AwaitsSuccessor(ViewOf(simulation, id),
                                              simulation.policy, promoted_at)) {
    Run(cluster, kShutdownCheck);
  }
  StopVm(simulation, id);
}

void FreezeVm(RepairSimulation& simulation, const NodeId& id, Duration length) {
  PauseVm(simulation.cluster, id, length);
}

void CutOffVm(RepairSimulation& simulation, const NodeId& id, Duration length) {
  SimulatedVm& vm = simulation.cluster.vms.at(id);
  vm.cut_incoming = vm.cut_outgoing = true;
  After(simulation.cluster, length,
        [&vm] { vm.cut_incoming = vm.cut_outgoing = false; });
}

void RunFor(RepairSimulation& simulation, Duration duration) {
  Run(simulation.cluster, duration);
}

bool AnswersWithin(RepairSimulation& simulation, Duration timeout) {
  SimulatedCluster& cluster = simulation.cluster;
  const uint64_t answered = cluster.last_answered_index;
  const SteadyTime end = cluster.now + timeout;
  while (cluster.now < end && cluster.last_answered_index == answered) {
    const SteadyTime before = cluster.now;
    Run(cluster, milliseconds(50));
    if (cluster.now == before) {
      return false;
    }
  }
  return cluster.last_answered_index > answered;
}

}  // namespace gooseberryrock::control
