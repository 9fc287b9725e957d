// The directory of backend servers of a node: takes in announcements and the
// changes of other nodes, sends changes on, and keeps the query path up to
// date.

#ifndef GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_
#define GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_

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

struct DirectoryKeeperOptions {
  NodeId self;
  // All nodes of the settings, this one among them.
  std::map<NodeId, FailureDomain> nodes;
};

class DirectoryKeeper {
 public:
  using FrameSender = std::function<
      void(const NodeId& to, peer::FrameKind kind, std::string body)>;

  DirectoryKeeper(DirectoryKeeperOptions options,
                  ServiceViews& views,
                  QueryEngine& engine,
                  telemetry::Metrics& metrics,
                  FrameSender send);

  // An announcement that reached this node. Returns whether the server must
  // raise its incarnation to be used again.
  bool OnAnnouncement(const directory::ServerRecord& record, SteadyTime now);

  // A directory delta, digest or pull of another node. Throws
  // MalformedMessageError.
  void OnFrame(const peer::PeerFrame& frame, SteadyTime now);
  // The change count in a heartbeat of `peer`.
  void OnHeartbeat(const NodeId& peer,
                   uint64_t incarnation,
                   uint64_t change_count,
                   SteadyTime now);
  // The change count for a heartbeat to `peer`.
  uint64_t SentCount(const NodeId& peer) const;

  // Expires and adopts records and sends changes to the other nodes. To be
  // called each directory::kDeltaInterval.
  void Maintain(const ClusterView::PeerMap& peers, SteadyTime now);

  // A catalog that is put in force; ignored unless it is newer.
  void OnCatalog(const catalog::Catalog& catalog);
  // All nodes report at least this version in force.
  void OnInForceEverywhere(uint64_t version);

  std::vector<directory::ServerRecord> Records() const;

 private:
  // All functions below need the lock.
  void SendDeltas(const std::vector<directory::ExchangePeer>& peers);
  void SendDigests(const std::vector<directory::ExchangePeer>& peers,
                   SteadyTime now);
  void SendPull(const NodeId& to, const directory::DirectoryPull& pull);
  void SendDelta(const NodeId& to, const directory::DirectoryDelta& delta);
  void ForgetLostPeers(const ClusterView::PeerMap& peers, SteadyTime now);
  std::vector<directory::ServerRecord> ExpireAndAdopt(
      const ClusterView::PeerMap& peers,
      SteadyTime now);
  // Brings the query path up to date with changed records.
  void Publish(const std::vector<directory::ServerRecord>& records);
  void PublishAll();
  uint32_t ShareOf(const directory::ServerRecord& record) const;

  const DirectoryKeeperOptions options_;
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

#endif  // GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_
