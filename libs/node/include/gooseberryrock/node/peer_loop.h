// The periodic exchange of a node with the other nodes: heartbeats, catalog
// polls and the directory.

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

class CatalogKeeper;
class ClusterView;
class DirectoryKeeper;

struct PeerLoopParts {
  NodeId self;
  FailureDomain failure_domain;
  // All other control VMs, those of the own failure domain first.
  std::vector<NodeId> control_peers;
  // Other nodes of the own failure domain.
  std::vector<NodeId> domain_peers;
  // Whether this node is a control VM and gets the catalog from its log.
  bool has_log = false;
  CatalogKeeper* catalog = nullptr;
  ClusterView* cluster = nullptr;
  DirectoryKeeper* directory = nullptr;
  std::function<void(const NodeId& to, peer::FrameKind kind, std::string body)>
      send;
};

class PeerLoop {
 public:
  explicit PeerLoop(PeerLoopParts parts);
  PeerLoop(const PeerLoop&) = delete;
  PeerLoop& operator=(const PeerLoop&) = delete;
  ~PeerLoop();

  // Frames of the kinds kPeerHeartbeat, kCatalogPoll and kCatalogPollReply.
  // Throws MalformedMessageError.
  void OnFrame(const peer::PeerFrame& frame);

  // Whether the node may serve: it has the newest catalog that it could find
  // among the control VMs and the nodes of its failure domain.
  bool HasCatalog() const;

  // Tells the other nodes that this one is about to stop.
  void AnnounceLeaving();

 private:
  void Run();
  void Tick(SteadyTime now);
  void SendHeartbeats();
  void SendCatalogPolls();
  void OnHeartbeat(const peer::PeerFrame& frame);
  void OnCatalogPoll(const peer::PeerFrame& frame);
  void OnCatalogPollReply(const peer::PeerFrame& frame);

  const PeerLoopParts parts_;
  const SteadyTime started_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::condition_variable changed_;
  bool stopping_ = false;
  bool leaving_ = false;
  size_t next_control_peer_ = 0;
  // Nodes that have answered a catalog poll since the start.
  std::set<NodeId> answered_;
  bool has_catalog_ = false;
  std::thread thread_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_PEER_LOOP_H_
