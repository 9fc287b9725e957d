// The control VMs and entry nodes that a control VM has heard of.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/member_repair.h"

namespace gooseberryrock::control {

struct ControlPeer {
  FailureDomain domain;
  HeardVm heard;
  // The entry nodes that ask this VM, of its own failure domain or another.
  std::map<NodeId, FailureDomain> entry_nodes;
};

// All functions may be called on any thread.
class ControlPeers {
 public:
  ControlPeers(NodeId self, FailureDomain domain);

  // Returns whether the VM was unknown.
  bool AddVm(const NodeId& node);
  void OnHello(const NodeId& from, ControlPeer peer);
  // An entry node asked this VM. Returns whether it was unknown.
  bool OnEntryPoll(const NodeId& node,
                   const FailureDomain& domain,
                   SteadyTime now);
  // Control VMs that were heard of lately, without this one.
  size_t CountPresent(SteadyTime now) const;
  // Forgets the entry nodes that have not asked for a while, and names them.
  std::vector<NodeId> ForgetEntryNodes(SteadyTime now);

  std::vector<NodeId> Vms() const;
  std::map<NodeId, HeardVm> Heard() const;
  // Those that ask this VM.
  std::map<NodeId, FailureDomain> OwnEntryNodes() const;
  // Those of all VMs, by failure domain.
  std::map<FailureDomain, std::set<NodeId>> AllEntryNodes(SteadyTime now) const;
  // A VM of `domain` that was heard lately, this one if it is there; empty when
  // there is none.
  NodeId VmIn(const FailureDomain& domain, SteadyTime now) const;

 private:
  const NodeId self_;
  const FailureDomain domain_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Without this VM itself.
  std::map<NodeId, ControlPeer> vms_;
  std::map<NodeId, std::pair<FailureDomain, SteadyTime>> entry_nodes_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
