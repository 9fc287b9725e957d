// Control VMs in virtual time: the replicated log, the hellos between the VMs
// and the automatic repair of the membership.

#ifndef GOOSEBERRYROCK_TESTS_CONTROL_REPAIR_SIMULATION_H_
#define GOOSEBERRYROCK_TESTS_CONTROL_REPAIR_SIMULATION_H_

#include <cstdint>
#include <map>
#include <set>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/member_repair.h"
#include "gooseberryrock/control/vm_contact.h"
#include "simulated_cluster.h"

namespace gooseberryrock::control {

struct RepairSimulation {
  // Three VMs found the log.
  RepairSimulation(const RepairPolicy& repair_policy, uint64_t seed);
  RepairSimulation(const RepairSimulation&) = delete;
  RepairSimulation& operator=(const RepairSimulation&) = delete;

  const RepairPolicy policy;
  consensus::SimulatedCluster cluster;
  // The last hello of each other VM, by receiver and sender.
  std::map<NodeId, std::map<NodeId, VmContact>> contacts;
  std::map<NodeId, SteadyTime> listening_since;
  std::map<NodeId, SteadyTime> last_check;
  std::set<NodeId> leaving;
};

// Starts a VM with an empty disk that joins the log.
void AddVm(RepairSimulation& simulation, const NodeId& id);

// Ends the VM. With a restart time it comes back with its disk, or with an
// empty one.
void StopVm(RepairSimulation& simulation, const NodeId& id);
void RestartVm(RepairSimulation& simulation, const NodeId& id, Duration after);
void RestartWithEmptyDisk(RepairSimulation& simulation,
                          const NodeId& id,
                          Duration after);

// Stops the VM gracefully: it hands over its leadership and its vote first, for
// at most `timeout`.
void ShutDownVm(RepairSimulation& simulation,
                const NodeId& id,
                Duration timeout);

// The VM does nothing for `length`, while its clock goes on.
void FreezeVm(RepairSimulation& simulation, const NodeId& id, Duration length);
// Cuts the VM off from all others for `length`.
void CutOffVm(RepairSimulation& simulation, const NodeId& id, Duration length);

void RunFor(RepairSimulation& simulation, Duration duration);

// Runs until a proposal is answered, for at most `timeout`. Returns whether one
// was.
bool AnswersWithin(RepairSimulation& simulation, Duration timeout);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_TESTS_CONTROL_REPAIR_SIMULATION_H_
