// The last heartbeat received from each other node.

#include "gooseberryrock/node/cluster_view.h"

#include <utility>

namespace gooseberryrock::node {

namespace {

constexpr Duration kHeartbeatTimeout = std::chrono::seconds(2);

}  // namespace

bool IsReachable(const PeerView& peer, SteadyTime now) {
  return peer.last_heartbeat_at &&
         now - *peer.last_heartbeat_at <= kHeartbeatTimeout;
}

ClusterView::ClusterView(PeerMap peers) : peers_(std::move(peers)) {}

void ClusterView::OnHeartbeat(const NodeId& node,
                              uint64_t catalog_version,
                              bool leaving,
                              SteadyTime now) {
  {
    std::lock_guard lock(mutex_);
    auto it = peers_.find(node);
    if (it == peers_.end()) {
      return;
    }
    it->second.catalog_version = catalog_version;
    it->second.leaving = leaving;
    it->second.last_heartbeat_at = now;
  }
  changed_.notify_all();
}

ClusterView::PeerMap ClusterView::Peers() const {
  std::lock_guard lock(mutex_);
  return peers_;
}

std::vector<NodeId> ClusterView::WaitForVersion(uint64_t version,
                                                SteadyTime until) {
  std::unique_lock lock(mutex_);
  while (true) {
    const SteadyTime now = std::chrono::steady_clock::now();
    auto lagging = LaggingPeers(version, now);
    if (lagging.empty() || now >= until) {
      return lagging;
    }
    changed_.wait_until(lock, until);
  }
}

std::vector<NodeId> ClusterView::LaggingPeers(uint64_t version,
                                              SteadyTime now) const {
  std::vector<NodeId> lagging;
  for (const auto& [node, view] : peers_) {
    if (!IsReachable(view, now) || view.catalog_version < version) {
      lagging.push_back(node);
    }
  }
  return lagging;
}

}  // namespace gooseberryrock::node
