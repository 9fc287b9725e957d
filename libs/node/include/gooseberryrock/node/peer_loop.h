// Periodic exchange with the other nodes: heartbeats, catalog polls and
// directory updates.

#ifndef GOOSEBERRYROCK_NODE_PEER_LOOP_H_
#define GOOSEBERRYROCK_NODE_PEER_LOOP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::node {

class CatalogStore;
class ClusterView;
class DirectoryReplica;

struct PeerLoopDependencies {
  NodeId self;
  FailureDomain failure_domain;
  // All other control VMs, those in this failure domain first.
  std::vector<NodeId> control_peers;
  // Other nodes in this failure domain.
  std::vector<NodeId> domain_peers;
  // Whether this node is a control VM and receives the catalog from its log.
  bool has_log = false;
  CatalogStore* catalog = nullptr;
  ClusterView* cluster = nullptr;
  DirectoryReplica* directory = nullptr;
  std::function<void(const NodeId& to, peer::FrameKind kind, std::string body)>
      send;
};

class PeerLoop {
 public:
  explicit PeerLoop(PeerLoopDependencies deps);
  PeerLoop(const PeerLoop&) = delete;
  PeerLoop& operator=(const PeerLoop&) = delete;
  ~PeerLoop();

  // Handles frames of kind kPeerHeartbeat, kCatalogPoll and kCatalogPollReply.
  // Throws MalformedMessageError.
  void OnFrame(const peer::PeerFrame& frame);

  // Whether the node may serve: it has the newest catalog reported by the
  // control VMs and the nodes in its failure domain.
  bool HasCatalog() const;

  // Announces to the other nodes that this node is shutting down.
  void AnnounceLeaving();

 private:
  void Run();
  void Tick(SteadyTime now);
  void SendHeartbeats();
  void SendCatalogPolls();
  void OnHeartbeat(const peer::PeerFrame& frame);
  void OnCatalogPoll(const peer::PeerFrame& frame);
  void OnCatalogPollReply(const peer::PeerFrame& frame);

  const PeerLoopDependencies deps_;
  const SteadyTime started_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::condition_variable changed_;
  bool stopping_ = false;
  bool leaving_ = false;
  size_t next_control_peer_ = 0;
  // Nodes that have replied to a catalog poll since startup.
  std::set<NodeId> answered_;
  bool has_catalog_ = false;
  std::thread thread_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_PEER_LOOP_H_
