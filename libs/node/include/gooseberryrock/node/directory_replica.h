// This node's replica of the backend server directory: applies announcements
// and changes from other nodes, forwards changes, and updates the query path.

#ifndef GOOSEBERRYROCK_NODE_DIRECTORY_REPLICA_H_
#define GOOSEBERRYROCK_NODE_DIRECTORY_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/directory/ownership.h"
#include "gooseberryrock/directory/reservation_history.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::node {

class QueryEngine;
class ServiceViews;

struct DirectoryReplicaOptions {
  NodeId self;
  // All nodes in the settings, including this one.
  std::map<NodeId, FailureDomain> nodes;
};

class DirectoryReplica {
 public:
  using FrameSender = std::function<
      void(const NodeId& to, peer::FrameKind kind, std::string body)>;

  DirectoryReplica(DirectoryReplicaOptions options,
                   ServiceViews& views,
                   QueryEngine& engine,
                   telemetry::Metrics& metrics,
                   FrameSender send);

  // Handles an announcement sent to this node. Returns whether the server must
  // increment its incarnation before it can be used again.
  bool OnAnnouncement(const directory::ServerRecord& record, SteadyTime now);

  // Handles a directory delta, digest or pull from another node. Throws
  // MalformedMessageError.
  void OnFrame(const peer::PeerFrame& frame, SteadyTime now);
  // Handles the change count in a heartbeat from `peer`.
  void OnHeartbeat(const NodeId& peer,
                   uint64_t incarnation,
                   uint64_t change_count,
                   SteadyTime now);
  // Returns the change count for a heartbeat to `peer`.
  uint64_t SentCount(const NodeId& peer) const;

  // Expires and adopts records and sends changes to the other nodes. Must be
  // called every directory::kDeltaInterval.
  void Maintain(const ClusterView::PeerMap& peers, SteadyTime now);

  // Applies a catalog. Ignored unless it is newer than the current one.
  void OnCatalog(const catalog::Catalog& catalog);
  // Called when all nodes report at least this catalog version in force.
  void OnInForceEverywhere(uint64_t version);

  std::vector<directory::ServerRecord> Records() const;

 private:
  // All functions below require the lock to be held.
  void SendDeltas(const std::vector<directory::ExchangePeer>& peers);
  void SendDigests(const std::vector<directory::ExchangePeer>& peers,
                   SteadyTime now);
  void SendPull(const NodeId& to, const directory::DirectoryPull& pull);
  void SendDelta(const NodeId& to, const directory::DirectoryDelta& delta);
  void ResetUnreachablePeers(const ClusterView::PeerMap& peers, SteadyTime now);
  std::vector<directory::ServerRecord> ExpireAndAdopt(
      const ClusterView::PeerMap& peers,
      SteadyTime now);
  // Updates the query path with the changed records.
  void Publish(const std::vector<directory::ServerRecord>& records);
  void PublishAll();
  uint32_t ShareOf(const directory::ServerRecord& record) const;

  const DirectoryReplicaOptions options_;
  const directory::ReservedPlace place_;
  ServiceViews& views_;
  QueryEngine& engine_;
  telemetry::Metrics& metrics_;
  const FrameSender send_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  directory::Directory directory_;
  directory::DirectoryExchange exchange_;
  directory::DomainContacts contacts_;
  directory::ReservationHistory reservations_;
  catalog::Catalog catalog_;
  SteadyTime next_digest_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_DIRECTORY_REPLICA_H_
