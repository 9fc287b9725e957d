// What this node has last heard of each other node.

#ifndef GOOSEBERRYROCK_NODE_CLUSTER_VIEW_H_
#define GOOSEBERRYROCK_NODE_CLUSTER_VIEW_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::node {

struct PeerView {
  FailureDomain failure_domain;
  bool control = false;
  // Version of the catalog in force at the peer.
  uint64_t catalog_version = 0;
  // The peer is in a graceful shutdown.
  bool leaving = false;
  // Empty until the first heartbeat.
  std::optional<SteadyTime> heard_at;
};

// Whether the peer was heard of within the last 2 s. A silent peer counts as
// lost, and what it reported does not count as its state.
bool IsReachable(const PeerView& peer, SteadyTime now);

class ClusterView {
 public:
  using PeerMap = std::map<NodeId, PeerView>;

  // `peers` are all other nodes of the settings.
  explicit ClusterView(PeerMap peers);

  // Ignores nodes that are not in the settings.
  void OnHeartbeat(const NodeId& node,
                   uint64_t catalog_version,
                   bool leaving,
                   SteadyTime now);

  PeerMap Peers() const;

  // Waits until `until` for all peers to report `version` or a later one.
  // Returns the peers that do not, or that were silent for too long.
  std::vector<NodeId> WaitForVersion(uint64_t version, SteadyTime until);

 private:
  // The lock is held.
  std::vector<NodeId> LaggingPeers(uint64_t version, SteadyTime now) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by `mutex_`.
  PeerMap peers_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CLUSTER_VIEW_H_
