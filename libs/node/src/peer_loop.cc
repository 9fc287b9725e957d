// Periodic exchange with the other nodes.

#include "gooseberryrock/node/peer_loop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/node/catalog_store.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/node/directory_replica.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "peer.pb.h"

namespace gooseberryrock::node {

namespace {

constexpr Duration kTickInterval = directory::kDeltaInterval;
// A starting node waits this long for replies from all polled nodes, then uses
// the highest version received.
constexpr Duration kCatalogPollTimeout = std::chrono::seconds(3);

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

uint64_t LowestVersion(const ClusterView::PeerMap& peers, uint64_t own) {
  for (const auto& [node, peer] : peers) {
    own = std::min(own, peer.last_heartbeat_at ? peer.catalog_version : 0);
  }
  return own;
}

}  // namespace

PeerLoop::PeerLoop(PeerLoopDependencies deps)
    : deps_(std::move(deps)), started_(Now()) {
  has_catalog_ = deps_.control_peers.empty() && deps_.domain_peers.empty();
  thread_ = std::thread([this] { Run(); });
}

PeerLoop::~PeerLoop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void PeerLoop::OnFrame(const peer::PeerFrame& frame) {
  if (frame.kind == peer::FrameKind::kPeerHeartbeat) {
    OnHeartbeat(frame);
  } else if (frame.kind == peer::FrameKind::kCatalogPoll) {
    OnCatalogPoll(frame);
  } else if (frame.kind == peer::FrameKind::kCatalogPollReply) {
    OnCatalogPollReply(frame);
  }
}

bool PeerLoop::HasCatalog() const {
  std::lock_guard lock(mutex_);
  return has_catalog_;
}

void PeerLoop::AnnounceLeaving() {
  {
    std::lock_guard lock(mutex_);
    leaving_ = true;
  }
  SendHeartbeats();
}

void PeerLoop::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    Tick(Now());
    lock.lock();
    changed_.wait_for(lock, kTickInterval, [this] { return stopping_; });
  }
}

void PeerLoop::Tick(SteadyTime now) {
  deps_.directory->Maintain(deps_.cluster->Peers(), now);
  SendHeartbeats();
  SendCatalogPolls();
  deps_.directory->OnInForceEverywhere(
      LowestVersion(deps_.cluster->Peers(), deps_.catalog->Version()));
  std::lock_guard lock(mutex_);
  if (now - started_ >= kCatalogPollTimeout && !answered_.empty()) {
    has_catalog_ = true;
  }
}

void PeerLoop::SendHeartbeats() {
  proto::PeerHeartbeat message;
  message.set_catalog_version(deps_.catalog->Version());
  message.set_failure_domain(deps_.failure_domain.value);
  {
    std::lock_guard lock(mutex_);
    message.set_leaving(leaving_);
  }
  for (const auto& [node, peer] : deps_.cluster->Peers()) {
    message.set_change_count(deps_.directory->SentCount(node));
    deps_.send(node, peer::FrameKind::kPeerHeartbeat,
               message.SerializeAsString());
  }
}

void PeerLoop::SendCatalogPolls() {
  proto::CatalogPoll message;
  message.set_version(deps_.catalog->Version());
  const std::string body = message.SerializeAsString();
  std::set<NodeId> targets;
  {
    std::lock_guard lock(mutex_);
    if (!has_catalog_) {
      targets.insert(deps_.control_peers.begin(), deps_.control_peers.end());
      targets.insert(deps_.domain_peers.begin(), deps_.domain_peers.end());
    } else if (!deps_.has_log && !deps_.control_peers.empty()) {
      const size_t n = deps_.control_peers.size();
      targets.insert(deps_.control_peers[next_control_peer_++ % n]);
    }
  }
  for (const NodeId& node : targets) {
    deps_.send(node, peer::FrameKind::kCatalogPoll, body);
  }
}

void PeerLoop::OnHeartbeat(const peer::PeerFrame& frame) {
  const auto message = proto::Parse<proto::PeerHeartbeat>(frame.body);
  const SteadyTime now = Now();
  deps_.cluster->OnHeartbeat(frame.sender, message.catalog_version(),
                             message.leaving(), now);
  deps_.directory->OnHeartbeat(frame.sender, frame.incarnation,
                               message.change_count(), now);
}

void PeerLoop::OnCatalogPoll(const peer::PeerFrame& frame) {
  const auto message = proto::Parse<proto::CatalogPoll>(frame.body);
  proto::CatalogPollReply reply;
  reply.set_version(deps_.catalog->Version());
  if (message.version() < reply.version()) {
    *reply.mutable_catalog() = proto::ToMessage(deps_.catalog->InForce());
  }
  deps_.send(frame.sender, peer::FrameKind::kCatalogPollReply,
             reply.SerializeAsString());
}

void PeerLoop::OnCatalogPollReply(const peer::PeerFrame& frame) {
  const auto message = proto::Parse<proto::CatalogPollReply>(frame.body);
  if (message.has_catalog()) {
    deps_.catalog->Put(proto::FromMessage(message.catalog()));
  }
  deps_.catalog->Confirm(message.version(), Now());
  std::lock_guard lock(mutex_);
  answered_.insert(frame.sender);
  const auto has_answered = [this](const NodeId& node) {
    return answered_.contains(node);
  };
  has_catalog_ =
      has_catalog_ || (std::all_of(deps_.control_peers.begin(),
                                   deps_.control_peers.end(), has_answered) &&
                       std::all_of(deps_.domain_peers.begin(),
                                   deps_.domain_peers.end(), has_answered));
}

}  // namespace gooseberryrock::node
