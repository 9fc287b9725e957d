// This node's replica of the backend server directory.

#include "gooseberryrock/node/directory_replica.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "gooseberryrock/control/directory_frames.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/directory/ownership.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "peer.pb.h"

namespace gooseberryrock::node {

namespace {

// A server that has not announced itself for this long is expired.
constexpr Duration kServerExpiry = std::chrono::seconds(2);

// The position of `self` among the nodes of its failure domain, ordered by id.
directory::ReservedPlace PlaceOf(const DirectoryReplicaOptions& options) {
  directory::ReservedPlace place;
  place.domain = options.nodes.at(options.self);
  for (const auto& [node, domain] : options.nodes) {
    if (domain == place.domain && node < options.self) {
      ++place.position;
    }
  }
  return place;
}

// The reservation used until an operator sets one, based on the nodes in the
// settings.
directory::Reservation DefaultReservation(
    const DirectoryReplicaOptions& options) {
  directory::Reservation reservation;
  for (const auto& [node, domain] : options.nodes) {
    ++reservation[domain];
  }
  return reservation;
}

}  // namespace

DirectoryReplica::DirectoryReplica(DirectoryReplicaOptions options,
                                   ServiceViews& views,
                                   QueryEngine& engine,
                                   telemetry::Metrics& metrics,
                                   FrameSender send)
    : options_(std::move(options)),
      place_(PlaceOf(options_)),
      views_(views),
      engine_(engine),
      metrics_(metrics),
      send_(std::move(send)) {
  reservations_.steps.push_back({0, DefaultReservation(options_)});
  reservations_.settled = true;
}

bool DirectoryReplica::OnAnnouncement(const directory::ServerRecord& record,
                                      SteadyTime now) {
  telemetry::Increment(metrics_, telemetry::Counter::kAnnouncements);
  std::lock_guard lock(mutex_);
  if (directory::AcceptAnnouncement(directory_, record, options_.self, now)) {
    Publish({directory_.entries.at(record.id).record});
  }
  return directory::NeedsNewIncarnation(directory_, record);
}

void DirectoryReplica::OnFrame(const peer::PeerFrame& frame, SteadyTime now) {
  std::lock_guard lock(mutex_);
  Publish(
      control::HandleDirectoryFrame(directory_, exchange_, frame, send_, now));
}

void DirectoryReplica::OnHeartbeat(const NodeId& peer,
                                   uint64_t incarnation,
                                   uint64_t change_count,
                                   SteadyTime now) {
  std::lock_guard lock(mutex_);
  auto node = options_.nodes.find(peer);
  if (node != options_.nodes.end()) {
    directory::OnContact(contacts_, node->second, place_.domain, now);
  }
  if (auto pull = directory::OnChangeSpan(exchange_, peer, incarnation,
                                          change_count, change_count)) {
    SendPull(peer, *pull);
  }
}

uint64_t DirectoryReplica::SentCount(const NodeId& peer) const {
  std::lock_guard lock(mutex_);
  return directory::SentCount(exchange_, peer);
}

void DirectoryReplica::Maintain(const ClusterView::PeerMap& peers,
                                SteadyTime now) {
  std::lock_guard lock(mutex_);
  Publish(ExpireAndAdopt(peers, now));
  directory::RemoveGone(directory_, now);
  ResetUnreachablePeers(peers, now);
  std::set<NodeId> nodes;
  for (const auto& [node, domain] : options_.nodes) {
    nodes.insert(node);
  }
  const auto exchange_peers = directory::ExchangePeers(nodes, options_.self);
  SendDeltas(exchange_peers);
  SendDigests(exchange_peers, now);
}

std::vector<directory::ServerRecord> DirectoryReplica::ExpireAndAdopt(
    const ClusterView::PeerMap& peers,
    SteadyTime now) {
  directory::NodeDomains live;
  directory::NodeDomains lost;
  live[options_.self] = place_.domain;
  for (const auto& [node, peer] : peers) {
    (IsReachable(peer, now) ? live : lost)[node] = peer.failure_domain;
  }
  auto changed = peers.empty()
                     ? directory::ExpireServers(directory_, options_.self,
                                                kServerExpiry, now)
                     : directory::ExpireServers(directory_, options_.self,
                                                contacts_, kServerExpiry, now);
  telemetry::Increment(metrics_, telemetry::Counter::kServersExpired,
                       changed.size());
  auto adopted =
      directory::TakeOverRecords(directory_, live, lost, options_.self, now);
  std::move(adopted.begin(), adopted.end(), std::back_inserter(changed));
  return changed;
}

void DirectoryReplica::ResetUnreachablePeers(const ClusterView::PeerMap& peers,
                                             SteadyTime now) {
  for (const auto& [node, peer] : peers) {
    if (peer.last_heartbeat_at && !IsReachable(peer, now)) {
      directory::OnPeerLost(exchange_, node);
    }
  }
}

void DirectoryReplica::SendDeltas(
    const std::vector<directory::ExchangePeer>& peers) {
  for (const directory::ExchangePeer& peer : peers) {
    while (auto delta = directory::TakeDelta(directory_, exchange_, peer)) {
      SendDelta(peer.node, *delta);
    }
  }
}

void DirectoryReplica::SendDigests(
    const std::vector<directory::ExchangePeer>& peers,
    SteadyTime now) {
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + directory::kDigestInterval;
  const std::string body =
      proto::ToMessage(directory::MakeRootDigest(directory_))
          .SerializeAsString();
  for (size_t i : directory::TakeDigestPeers(exchange_, peers.size())) {
    send_(peers[i].node, peer::FrameKind::kDirectoryDigest, body);
  }
}

void DirectoryReplica::SendPull(const NodeId& to,
                                const directory::DirectoryPull& pull) {
  send_(to, peer::FrameKind::kDirectoryPull,
        proto::ToMessage(pull).SerializeAsString());
}

void DirectoryReplica::SendDelta(const NodeId& to,
                                 const directory::DirectoryDelta& delta) {
  send_(to, peer::FrameKind::kDirectoryDelta,
        proto::ToMessage(delta).SerializeAsString());
}

void DirectoryReplica::OnCatalog(const catalog::Catalog& catalog) {
  std::lock_guard lock(mutex_);
  if (catalog.version <= catalog_.version) {
    return;
  }
  catalog_.version = catalog.version;
  catalog_.services = catalog.services;
  if (catalog.reserved_nodes != catalog_.reserved_nodes) {
    catalog_.reserved_nodes = catalog.reserved_nodes;
    directory::PutReservation(reservations_,
                              {catalog.version, catalog.reserved_nodes});
  }
  PublishAll();
}

void DirectoryReplica::OnInForceEverywhere(uint64_t version) {
  std::lock_guard lock(mutex_);
  const size_t steps = reservations_.steps.size();
  directory::OnInForceEverywhere(reservations_, version);
  if (reservations_.steps.size() != steps) {
    PublishAll();
  }
}

std::vector<directory::ServerRecord> DirectoryReplica::Records() const {
  std::lock_guard lock(mutex_);
  return directory::ChangesSince(directory_, 0);
}

void DirectoryReplica::Publish(
    const std::vector<directory::ServerRecord>& records) {
  if (records.empty()) {
    return;
  }
  for (const auto& record : records) {
    engine_.OnServerChanged(record, ShareOf(record));
  }
  views_.Rebuild(catalog_, directory_);
}

void DirectoryReplica::PublishAll() {
  for (const auto& [id, entry] : directory_.entries) {
    engine_.OnServerChanged(entry.record, ShareOf(entry.record));
  }
  views_.Rebuild(catalog_, directory_);
}

uint32_t DirectoryReplica::ShareOf(
    const directory::ServerRecord& record) const {
  return directory::CurrentConnectionShare(
      reservations_, record.connection_limit, record.failure_domain, place_);
}

}  // namespace gooseberryrock::node
