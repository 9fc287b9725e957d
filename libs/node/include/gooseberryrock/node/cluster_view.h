// The last heartbeat received from each other node.

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
  // Catalog version in force on the peer.
  uint64_t catalog_version = 0;
  // The peer is shutting down gracefully.
  bool leaving = false;
  // Empty until the first heartbeat is received.
  std::optional<SteadyTime> last_heartbeat_at;
};

// Whether a heartbeat was received from the peer within the last 2 s. An
// unreachable peer counts as lost, and its last reported state is not used.
bool IsReachable(const PeerView& peer, SteadyTime now);

class ClusterView {
 public:
  using PeerMap = std::map<NodeId, PeerView>;

  // `peers` holds all other nodes in the settings.
  explicit ClusterView(PeerMap peers);

  // Ignores nodes that are not in the settings.
  void OnHeartbeat(const NodeId& node,
                   uint64_t catalog_version,
                   bool leaving,
                   SteadyTime now);

  PeerMap Peers() const;

  // Waits until `until` for all peers to report `version` or a later one.
  // Returns the peers that are behind or unreachable.
  std::vector<NodeId> WaitForVersion(uint64_t version, SteadyTime until);

 private:
  // Requires the lock to be held.
  std::vector<NodeId> LaggingPeers(uint64_t version, SteadyTime now) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by `mutex_`.
  PeerMap peers_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CLUSTER_VIEW_H_
