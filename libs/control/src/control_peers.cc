// The control VMs and entry nodes that a control VM has heard of.

#include "control_peers.h"

#include <algorithm>
#include <utility>

namespace gooseberryrock::control {

namespace {

// An entry node asks every 250 ms; one that is restarted is back by then and
// keeps its part of the connection limits.
constexpr Duration kEntryNodeLost = std::chrono::seconds(10);
// Hellos come every 500 ms.
constexpr Duration kVmPresent = std::chrono::milliseconds(1600);

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

bool ControlPeers::OnEntryPoll(const NodeId& node,
                               const FailureDomain& domain,
                               SteadyTime now) {
  std::lock_guard lock(mutex_);
  return entry_nodes_.insert_or_assign(node, std::pair(domain, now)).second;
}

std::vector<NodeId> ControlPeers::ForgetEntryNodes(SteadyTime now) {
  std::lock_guard lock(mutex_);
  std::vector<NodeId> forgotten;
  std::erase_if(entry_nodes_, [&](const auto& it) {
    const bool lost = now - it.second.second >= kEntryNodeLost;
    if (lost) {
      forgotten.push_back(it.first);
    }
    return lost;
  });
  return forgotten;
}

size_t ControlPeers::CountPresent(SteadyTime now) const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(vms_.begin(), vms_.end(), [now](const auto& it) {
        return now - it.second.heard.heard_at < kVmPresent;
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

std::map<NodeId, HeardVm> ControlPeers::Heard() const {
  std::lock_guard lock(mutex_);
  std::map<NodeId, HeardVm> heard;
  for (const auto& [node, vm] : vms_) {
    heard[node] = vm.heard;
  }
  return heard;
}

std::map<NodeId, FailureDomain> ControlPeers::OwnEntryNodes() const {
  std::lock_guard lock(mutex_);
  std::map<NodeId, FailureDomain> nodes;
  for (const auto& [node, entry] : entry_nodes_) {
    nodes[node] = entry.first;
  }
  return nodes;
}

std::map<FailureDomain, std::set<NodeId>> ControlPeers::AllEntryNodes(
    SteadyTime now) const {
  std::lock_guard lock(mutex_);
  std::map<FailureDomain, std::set<NodeId>> all;
  for (const auto& [node, entry] : entry_nodes_) {
    all[entry.first].insert(node);
  }
  for (const auto& [vm, peer] : vms_) {
    if (now - peer.heard.heard_at >= kEntryNodeLost) {
      continue;
    }
    for (const auto& [node, domain] : peer.entry_nodes) {
      all[domain].insert(node);
    }
  }
  return all;
}

NodeId ControlPeers::VmIn(const FailureDomain& domain, SteadyTime now) const {
  if (domain == domain_) {
    return self_;
  }
  std::lock_guard lock(mutex_);
  for (const auto& [node, vm] : vms_) {
    if (vm.domain == domain && now - vm.heard.heard_at < kVmPresent) {
      return node;
    }
  }
  return {};
}

}  // namespace gooseberryrock::control
