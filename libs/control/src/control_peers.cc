// Control VMs known to a control VM.

#include "control_peers.h"

#include <algorithm>
#include <utility>

namespace gooseberryrock::control {

namespace {

// Hello interval: 500 ms.
constexpr Duration kVmTimeout = std::chrono::milliseconds(1600);

}  // namespace

ControlPeers::ControlPeers(NodeId self, FailureDomain domain)
    : self_(std::move(self)), domain_(std::move(domain)) {}

bool ControlPeers::AddVm(const NodeId& node) {
  std::lock_guard lock(mutex_);
  return node != self_ && vms_.emplace(node, ControlPeer{}).second;
}

void ControlPeers::OnHello(const NodeId& from, ControlPeer peer) {
  std::lock_guard lock(mutex_);
  vms_[from] = std::move(peer);
}

size_t ControlPeers::CountPresent(SteadyTime now) const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(vms_.begin(), vms_.end(), [now](const auto& it) {
        return now - it.second.contact.last_contact < kVmTimeout;
      }));
}

std::vector<NodeId> ControlPeers::Vms() const {
  std::lock_guard lock(mutex_);
  std::vector<NodeId> nodes;
  for (const auto& [node, vm] : vms_) {
    nodes.push_back(node);
  }
  return nodes;
}

std::map<NodeId, VmContact> ControlPeers::Contacts() const {
  std::lock_guard lock(mutex_);
  std::map<NodeId, VmContact> contacts;
  for (const auto& [node, vm] : vms_) {
    contacts[node] = vm.contact;
  }
  return contacts;
}

NodeId ControlPeers::FindVmIn(const FailureDomain& domain,
                              SteadyTime now) const {
  if (domain == domain_) {
    return self_;
  }
  std::lock_guard lock(mutex_);
  for (const auto& [node, vm] : vms_) {
    if (vm.domain == domain && now - vm.contact.last_contact < kVmTimeout) {
      return node;
    }
  }
  return {};
}

}  // namespace gooseberryrock::control
