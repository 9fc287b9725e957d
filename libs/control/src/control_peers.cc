// Control VMs and entry nodes known to a control VM.

#include "control_peers.h"

#include <algorithm>
#include <utility>

namespace gooseberryrock::control {

namespace {

// Entry nodes poll every 250 ms. Long enough for a restarted entry node to keep
// its share of the connection limits.
constexpr Duration kEntryNodeTimeout = std::chrono::seconds(10);
// Hello interval: 500 ms.
constexpr Duration kVmTimeout = std::chrono::milliseconds(1600);
// Two hellos; and four polls of entry nodes that have moved here.
constexpr Duration kSilence = std::chrono::seconds(1);

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

std::vector<NodeId> ControlPeers::RemoveLostEntryNodes(SteadyTime now) {
  std::lock_guard lock(mutex_);
  std::vector<NodeId> forgotten;
  std::erase_if(entry_nodes_, [&](const auto& it) {
    const bool lost = now - it.second.second >= kEntryNodeTimeout;
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

std::map<NodeId, FailureDomain> ControlPeers::PollingEntryNodes() const {
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
    if (now - peer.contact.last_contact >= kEntryNodeTimeout) {
      continue;
    }
    for (const auto& [node, domain] : peer.entry_nodes) {
      all[domain].insert(node);
    }
  }
  return all;
}

std::map<NodeId, double> ControlPeers::FindMovedNodes(SteadyTime now) const {
  std::lock_guard lock(mutex_);
  std::set<NodeId> heard;
  for (const auto& [node, entry] : entry_nodes_) {
    if (now - entry.second < kSilence) {
      heard.insert(node);
    }
  }
  for (const auto& [vm, peer] : vms_) {
    if (now - peer.contact.last_contact < kSilence) {
      for (const auto& [node, domain] : peer.entry_nodes) {
        heard.insert(node);
      }
    }
  }
  std::map<NodeId, double> moved;
  for (const auto& [vm, peer] : vms_) {
    if (now - peer.contact.last_contact < kSilence ||
        peer.entry_nodes.empty()) {
      continue;
    }
    const auto n =
        std::count_if(peer.entry_nodes.begin(), peer.entry_nodes.end(),
                      [&](const auto& it) { return heard.contains(it.first); });
    moved[vm] =
        static_cast<double>(n) / static_cast<double>(peer.entry_nodes.size());
  }
  return moved;
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
