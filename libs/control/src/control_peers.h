// Control VMs known to a control VM.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_

#include <map>
#include <mutex>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/vm_contact.h"

namespace gooseberryrock::control {

struct ControlPeer {
  FailureDomain domain;
  VmContact contact;
};

// Thread-safe.
class ControlPeers {
 public:
  ControlPeers(NodeId self, FailureDomain domain);

  // Returns whether the VM was added.
  bool AddVm(const NodeId& node);
  void OnHello(const NodeId& from, ControlPeer peer);
  // Returns the number of present control VMs, excluding this one.
  size_t CountPresent(SteadyTime now) const;

  std::vector<NodeId> Vms() const;
  std::map<NodeId, VmContact> Contacts() const;
  // Returns a present control VM in `domain`, preferably this one; empty if
  // there is none.
  NodeId FindVmIn(const FailureDomain& domain, SteadyTime now) const;

 private:
  const NodeId self_;
  const FailureDomain domain_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Excludes this VM.
  std::map<NodeId, ControlPeer> vms_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_CONTROL_PEERS_H_
