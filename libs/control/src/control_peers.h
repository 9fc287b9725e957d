// Control VMs and entry nodes known to a control VM.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/vm_contact.h"

namespace gooseberryrock::control {

struct ControlPeer {
  FailureDomain domain;
  VmContact contact;
  // Entry nodes that poll this VM, with their failure domains.
  std::map<NodeId, FailureDomain> entry_nodes;
};

// Thread-safe.
class ControlPeers {
 public:
  ControlPeers(NodeId self, FailureDomain domain);

  // Returns whether the VM was added.
  bool AddVm(const NodeId& node);
  void OnHello(const NodeId& from, ControlPeer peer);
  // Records a poll of an entry node. Returns whether the node was unknown.
  bool OnEntryPoll(const NodeId& node,
                   const FailureDomain& domain,
                   SteadyTime now);
  // Returns the number of present control VMs, excluding this one.
  size_t CountPresent(SteadyTime now) const;
  // Removes and returns the entry nodes that have stopped polling this VM.
  std::vector<NodeId> RemoveLostEntryNodes(SteadyTime now);

  std::vector<NodeId> Vms() const;
  std::map<NodeId, VmContact> Contacts() const;
  // Entry nodes that poll this VM.
  std::map<NodeId, FailureDomain> PollingEntryNodes() const;
  // Entry nodes that poll any control VM, by failure domain.
  std::map<FailureDomain, std::set<NodeId>> AllEntryNodes(SteadyTime now) const;
  // Returns for each control VM that has been silent for a second the part of
  // its entry nodes that poll this VM or one that is present.
  std::map<NodeId, double> FindMovedNodes(SteadyTime now) const;
  // Returns a present control VM in `domain`, preferably this one; empty if
  // there is none.
  NodeId FindVmIn(const FailureDomain& domain, SteadyTime now) const;

 private:
  const NodeId self_;
  const FailureDomain domain_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Excludes this VM.
  std::map<NodeId, ControlPeer> vms_;
  std::map<NodeId, std::pair<FailureDomain, SteadyTime>> entry_nodes_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
