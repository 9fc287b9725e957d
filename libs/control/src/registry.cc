// Registry of backend servers on a control VM.

#include "registry.h"

#include <set>
#include <utility>

#include "gooseberryrock/directory/cold_server.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

// Time after a start during which each exchange compares the directory with all
// other control VMs, because announcements may have been missed during the
// downtime and entry nodes in the failure domain depend on this VM. Covers four
// announcements of each server.
constexpr Duration kCatchUpTime = std::chrono::seconds(5);

// Records in a reply to a poll, about 300 bytes each. A node that needs more
// polls again at once, so that neither the directory of a starting node nor the
// return of a whole failure domain blocks the connection with one large frame.
constexpr size_t kMaxRecordsPerReply = 500;

// Placeholder record for a server that withdraws before it is known to this VM.
// Other nodes may know it.
directory::ServerRecord UnknownServer() {
  directory::ServerRecord record;
  record.incarnation = 1;
  record.service = {"unknown"};
  record.failure_domain = {"unknown"};
  record.host = "0.0.0.0";
  record.port = 1;
  return record;
}

}  // namespace

Registry::Registry(NodeId self,
                   uint64_t incarnation,
                   SteadyTime started_at,
                   FrameSender send)
    : self_(std::move(self)),
      incarnation_(incarnation),
      started_at_(started_at),
      send_(std::move(send)) {}

void Registry::Announce(const directory::ServerRecord& record,
                        const std::vector<NodeId>& peers,
                        SteadyTime now) {
  std::lock_guard lock(mutex_);
  if (!directory::AcceptAnnouncement(
          directory_, directory::NumberColdChange(directory_, record), self_,
          now)) {
    return;
  }
  telemetry::LogEvent(
      telemetry::LogLevel::kInfo, "server_announced",
      {{"server", record.id.value},
       {"service", record.service.value},
       {"state", std::string(directory::ServerStateName(record.state))},
       {"cold", record.cold ? "true" : "false"},
       {"incarnation", std::to_string(record.incarnation)}});
  SendDeltas(peers);
}

void Registry::Withdraw(const WithdrawCall& call,
                        const std::vector<NodeId>& peers,
                        SteadyTime now) {
  std::lock_guard lock(mutex_);
  directory::ServerRecord record;
  auto it = directory_.entries.find(call.server);
  if (it != directory_.entries.end()) {
    record = it->second.record;
  } else {
    record = UnknownServer();
  }
  if (call.incarnation != 0) {
    if (call.incarnation < record.incarnation) {
      return;
    }
    record.incarnation = call.incarnation;
  }
  record.id = call.server;
  record.state = directory::ServerState::kGone;
  if (!directory::AcceptAnnouncement(directory_, record, self_, now)) {
    return;
  }
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "server_withdrawn",
                      {{"server", record.id.value},
                       {"service", record.service.value},
                       {"incarnation", std::to_string(record.incarnation)}});
  SendDeltas(peers);
}

void Registry::OnFrame(const peer::PeerFrame& frame, SteadyTime now) {
  std::lock_guard lock(mutex_);
  HandleDirectoryFrame(directory_, exchange_, frame, send_, now);
}

void Registry::OnSentCount(const peer::PeerFrame& frame, uint64_t count) {
  std::lock_guard lock(mutex_);
  if (auto pull = directory::OnChangeSpan(exchange_, frame.sender,
                                          frame.incarnation, count, count)) {
    send_(frame.sender, peer::FrameKind::kDirectoryPull,
          proto::ToMessage(*pull).SerializeAsString());
  }
}

uint64_t Registry::SentCount(const NodeId& peer) const {
  std::lock_guard lock(mutex_);
  return directory::SentCount(exchange_, peer);
}

void Registry::SendDeltas(const std::vector<NodeId>& peers) {
  for (const NodeId& it : peers) {
    while (auto delta = directory::TakeDelta(directory_, exchange_,
                                             {it, /*relay=*/false})) {
      send_(it, peer::FrameKind::kDirectoryDelta,
            proto::ToMessage(*delta).SerializeAsString());
    }
  }
}

void Registry::Exchange(const std::vector<NodeId>& peers, SteadyTime now) {
  std::lock_guard lock(mutex_);
  directory::RemoveGone(directory_, now);
  SendDeltas(peers);
  const bool catching_up = now - started_at_ < kCatchUpTime;
  if (now < next_digest_ && !catching_up) {
    return;
  }
  next_digest_ = now + directory::kDigestInterval;
  const std::string body =
      proto::ToMessage(directory::MakeRootDigest(directory_))
          .SerializeAsString();
  if (catching_up) {
    for (const NodeId& it : peers) {
      send_(it, peer::FrameKind::kDirectoryDigest, body);
    }
    return;
  }
  for (size_t i : directory::TakeDigestPeers(exchange_, peers.size())) {
    send_(peers[i], peer::FrameKind::kDirectoryDigest, body);
  }
}

void Registry::AnswerPoll(const proto::EntryPoll& poll,
                          proto::EntryPollReply& reply,
                          SteadyTime now) const {
  reply.set_without_directory(poll.without_directory());
  if (poll.without_directory()) {
    return;
  }
  std::lock_guard lock(mutex_);
  uint64_t since = 0;
  if (poll.directory_incarnation() == incarnation_) {
    since = poll.directory_count();
  } else if (poll.directory_digest() ==
             directory::MakeRootDigest(directory_).root) {
    since = directory_.change_count;
  }
  const directory::DirectoryChanges changes =
      directory::SomeChangesSince(directory_, since, kMaxRecordsPerReply);
  for (const auto& record : changes.records) {
    *reply.add_records() = proto::ToMessage(record);
  }
  reply.set_directory_count(changes.to);
  reply.set_more_records(changes.has_more);
  if (poll.directory_incarnation() == incarnation_ ||
      now >= remembered_servers_until_) {
    return;
  }
  for (const directory::ServerRecord& it : remembered_servers_) {
    if (!directory_.entries.contains(it.id)) {
      *reply.add_remembered() = proto::ToMessage(it);
    }
  }
}

void Registry::SetRememberedServers(
    std::vector<directory::ServerRecord> records,
    SteadyTime until) {
  std::lock_guard lock(mutex_);
  remembered_servers_ = std::move(records);
  remembered_servers_until_ = until;
}

std::vector<directory::ServerRecord> Registry::ReadyServers() const {
  std::lock_guard lock(mutex_);
  std::vector<directory::ServerRecord> records;
  for (const auto& [id, entry] : directory_.entries) {
    if (entry.record.state == directory::ServerState::kReady) {
      records.push_back(entry.record);
    }
  }
  return records;
}

uint64_t Registry::ChangeCount() const {
  std::lock_guard lock(mutex_);
  return directory_.change_count;
}

ServerCounts Registry::CountServers() const {
  std::lock_guard lock(mutex_);
  ServerCounts counts;
  for (const auto& [id, entry] : directory_.entries) {
    const auto state = entry.record.state;
    counts.ready += state == directory::ServerState::kReady ? 1 : 0;
    counts.draining += state == directory::ServerState::kDraining ? 1 : 0;
  }
  return counts;
}

}  // namespace gooseberryrock::control
