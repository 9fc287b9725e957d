// Polls a control VM for changes.

#include "control_poller.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "allotment_polls.h"
#include "connection_plan.h"
#include "followed_routes.h"
#include "gooseberryrock/allotments/shared_node_allotments.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/claims/shared_crash_history.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/entry/known_servers.h"
#include "gooseberryrock/node_list/followed_node_list.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/incarnation.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/proto/convert_evacuation.h"
#include "gooseberryrock/proto/convert_node_list.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

// Polling interval until the node has received a server directory.
constexpr Duration kStartPollInterval = std::chrono::milliseconds(50);
// The connection to a control VM that is no longer polled is closed after this
// time, which is longer than a leader election or a restart, during which nodes
// poll other control VMs temporarily.
constexpr Duration kUnpolledConnectionTimeout = std::chrono::seconds(10);

// A starting node reads the directories of this many control VMs, because one
// that lost its disk or was partitioned may not know all servers yet.
constexpr size_t kInitialDirectories = 3;

// A node without a reply for this long counts as cut off. Control VMs let the
// others divide the limits of servers again 10 s after its last poll.
constexpr Duration kCutOffTime = std::chrono::seconds(8);

// Limits the size of a poll; the other records follow in the next one.
constexpr size_t kMaxCrashNotices = 64;

struct ControlVm {
  FailureDomain domain;
  std::optional<SteadyTime> replied_at;
  // When it was last polled; empty while there is no connection to it.
  std::optional<SteadyTime> polled_at;
  // It recently heard from the leader of the replicated log.
  bool current = false;
  // Incarnation of the control VM's process that sent its directory; 0 if none
  // did.
  uint64_t incarnation = 0;
  uint64_t directory_count = 0;
  // Its last reply left out records that the next one contains.
  bool has_more_records = false;
  // The process that the crash records were exchanged with; 0 if there is none.
  uint64_t crashes_incarnation = 0;
  // Change of its crash records up to which this node has them.
  uint64_t crashes_known = 0;
  // Change of this node's crash records up to which that process has them.
  uint64_t crashes_received = 0;
};

uint64_t ToMicroseconds(SteadyTime time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          time.time_since_epoch())
          .count());
}

routes::RouteConfirmation ReadConfirmation(const proto::EntryPollReply& reply) {
  // Bounds what a faulty sender can do to the arithmetic.
  constexpr uint64_t kMaxAgeMs = 3'600'000;
  const SteadyTime sent_at{std::chrono::microseconds(reply.poll_sent_us())};
  const std::chrono::milliseconds age(
      std::min(reply.confirmation_age_ms(), kMaxAgeMs));
  return {reply.confirmed_version(), routes::ConfirmedAt(sent_at, age)};
}

peer::PeerSocketOptions SocketOptions(const EntrySettings& settings) {
  peer::PeerSocketOptions options;
  options.cluster = settings.cluster;
  options.cluster_key = settings.cluster_key;
  options.self = {settings.node, settings.node.value, settings.peer_port};
  options.incarnation = peer::MakeIncarnation();
  options.heartbeat_interval = settings.peer_heartbeat_interval;
  options.heartbeat_timeout = settings.peer_heartbeat_timeout;
  return options;
}

}  // namespace

struct ControlPoller::Impl {
  Impl(const EntrySettings& poller_settings,
       const EntryCodec& poller_codec,
       claims::SharedCrashHistory& poller_crash_history,
       allotments::SharedNodeAllotments& poller_allotments,
       ControlEvents poller_events)
      : settings(poller_settings),
        codec(poller_codec),
        crash_history(poller_crash_history),
        allotments(poller_allotments),
        events(std::move(poller_events)),
        socket(SocketOptions(settings),
               [this](const peer::PeerFrame& it) { OnFrame(it); }) {
    AddControlVms(settings.control_vms);
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    changed.notify_all();
    thread.join();
  }

  void AddControlVms(const std::vector<NodeId>& nodes) {
    std::lock_guard lock(mutex);
    for (const NodeId& it : nodes) {
      vms.emplace(it, ControlVm{});
    }
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (!stopping) {
      Poll();
      CheckContact(BootTime());
      const auto expired_servers =
          ExpireRememberedServers(known_servers, BootTime());
      if (!expired_servers.empty()) {
        telemetry::LogEvent(
            LogLevel::kInfo, "remembered_servers_forgotten",
            {{"servers", std::to_string(expired_servers.size())}});
        events.on_servers(expired_servers);
      }
      changed.wait_for(
          lock, has_directory ? settings.poll_interval : kStartPollInterval,
          [this] { return stopping || poll_now; });
      poll_now = false;
    }
  }

  // Requires `mutex`.
  void CheckContact(SteadyTime now) {
    const bool is_now = !last_reply_at || now - *last_reply_at < kCutOffTime;
    if (is_now != in_contact) {
      in_contact = is_now;
      events.on_contact(is_now);
    }
  }

  bool IsUpToDate(const ControlVm& vm, SteadyTime now) const {
    return vm.current && vm.replied_at &&
           now - *vm.replied_at < settings.poll_reply_timeout;
  }

  // Polls the control VMs of the node's failure domain up to the first one that
  // is up to date, or otherwise one elsewhere that is. If there is none, the
  // others are polled, mostly without their directories: when many nodes lose
  // the same control VM at once, a directory from each of the others would
  // exceed the traffic budget between failure domains. Requires `mutex`.
  void Poll() {
    const SteadyTime now = BootTime();
    CloseUnpolledConnections(now);
    has_reported = false;
    std::vector<NodeId> others;
    for (auto& [node, vm] : vms) {
      if (vm.domain != settings.failure_domain) {
        others.push_back(node);
        continue;
      }
      SendPoll(node, vm, /*with_directory=*/true, now);
      if (IsUpToDate(vm, now)) {
        SetSource(node);
        return;
      }
    }
    for (const NodeId& node : others) {
      ControlVm& vm = vms[node];
      if (IsUpToDate(vm, now)) {
        SendPoll(node, vm, /*with_directory=*/true, now);
        SetSource(node);
        return;
      }
    }
    PollOthers(others, now);
    SetSource({});
  }

  // Until the node has a directory all of `others` are polled, to find at once
  // which of them are in the node's failure domain; later one at a time.
  void PollOthers(const std::vector<NodeId>& others, SteadyTime now) {
    auto known = static_cast<size_t>(std::count_if(
        vms.begin(), vms.end(),
        [](const auto& it) { return it.second.incarnation != 0; }));
    const size_t n =
        has_directory ? std::min<size_t>(1, others.size()) : others.size();
    for (size_t i = 0; i < n; ++i) {
      const NodeId& node = others[next_other++ % others.size()];
      ControlVm& vm = vms[node];
      const bool with_directory =
          vm.has_more_records ||
          (vm.incarnation == 0 && known < kInitialDirectories);
      known += with_directory ? 1 : 0;
      SendPoll(node, vm, with_directory, now);
    }
  }

  void SendPoll(const NodeId& node,
                ControlVm& vm,
                bool with_directory,
                SteadyTime now) {
    if (!vm.polled_at) {
      socket.AddPeer({node, node.value, settings.peer_port});
    }
    vm.polled_at = now;
    proto::EntryPoll poll;
    poll.set_failure_domain(settings.failure_domain.value);
    poll.set_routes_version(routes_text.version);
    poll.set_routes_text_hash(routes_text.hash);
    proto::SetKnownNodeList(entry_nodes, poll);
    poll.set_without_directory(!with_directory);
    poll.set_sent_us(ToMicroseconds(now));
    poll.set_evacuation_version(evacuated.version);
    if (with_directory) {
      poll.set_directory_incarnation(vm.incarnation);
      poll.set_directory_count(vm.directory_count);
      poll.set_directory_digest(
          directory::MakeRootDigest(known_servers.directory).root);
    }
    const auto crashes =
        crash_history.NoticesSince(vm.crashes_received, kMaxCrashNotices, now);
    proto::AddCrashNotices(crashes.notices, *poll.mutable_crashes());
    poll.set_crashes_count(crashes.changes);
    poll.set_crashes_incarnation(vm.crashes_incarnation);
    poll.set_crashes_known(vm.crashes_known);
    // Only one control VM counts the requests; one that does not reply must not
    // hold them up.
    if (!has_reported && vm.replied_at &&
        now - *vm.replied_at < settings.poll_reply_timeout) {
      has_reported = AddReport(allotments, poll);
    }
    socket.Send(node, peer::FrameKind::kEntryPoll, poll.SerializeAsString());
  }

  // Each connection causes heartbeats, most of them between failure domains,
  // and each control VM would have one for each entry node.
  void CloseUnpolledConnections(SteadyTime now) {
    for (auto& [node, vm] : vms) {
      if (vm.polled_at && now - *vm.polled_at > kUnpolledConnectionTimeout) {
        vm.polled_at.reset();
        socket.RemovePeer(node);
      }
    }
  }

  void SetSource(const NodeId& node) {
    if (source == node) {
      return;
    }
    source = node;
    telemetry::LogEvent(
        node.empty() ? LogLevel::kWarning : LogLevel::kInfo,
        node.empty() ? "control_lost" : "control_followed",
        {{"control_vm", node.value},
         {"routes_version", std::to_string(routes_text.version)}});
  }

  void OnFrame(const peer::PeerFrame& frame) {
    if (frame.kind != peer::FrameKind::kEntryPollReply) {
      return;
    }
    proto::EntryPollReply reply;
    try {
      reply = proto::Parse<proto::EntryPollReply>(frame.body);
      OnReply(frame, reply);
    } catch (const proto::MalformedMessageError& e) {
      telemetry::LogEvent(
          LogLevel::kError, "control_reply_refused",
          {{"control_vm", frame.sender.value}, {"error", e.what()}});
    }
  }

  static std::vector<directory::ServerRecord> ReadRecords(
      const NodeId& control_vm,
      const google::protobuf::RepeatedPtrField<proto::ServerRecord>& messages) {
    proto::ReadableRecords readable = proto::ReadRecords(messages);
    if (readable.malformed > 0) {
      telemetry::LogEvent(LogLevel::kError, "records_malformed",
                          {{"from", control_vm.value},
                           {"records", std::to_string(readable.malformed)}});
    }
    return std::move(readable.records);
  }

  void OnReply(const peer::PeerFrame& frame,
               const proto::EntryPollReply& reply) {
    const std::vector<directory::ServerRecord> records =
        ReadRecords(frame.sender, reply.records());
    const routes::EvacuatedDomains newest =
        proto::FromMessage(reply.evacuated());
    std::vector<NodeId> others;
    for (const std::string& it : reply.control_vms()) {
      others.push_back({it});
    }
    AddControlVms(others);
    // Before the routes and servers, which requests may wait for.
    OnEvacuation(newest, reply);
    OnRoutes(reply);
    if (reply.confirmed_version() > 0) {
      events.on_confirmation(ReadConfirmation(reply));
    }
    ReadGrant(allotments, reply);
    crash_history.MergeNotices(proto::ReadCrashNotices(reply.crashes()),
                               BootTime());
    std::vector<ServerChange> changes;
    const auto update = proto::ReadNodeListUpdate(reply);
    std::optional<ConnectionPlan> plan;
    {
      std::lock_guard lock(mutex);
      ControlVm& vm = vms[frame.sender];
      if (vm.domain.empty() && !has_directory) {
        poll_now = true;
        changed.notify_all();
      }
      vm.domain = {reply.failure_domain()};
      vm.replied_at = BootTime();
      last_reply_at = vm.replied_at;
      vm.current = reply.current();
      vm.crashes_known = reply.crashes_count();
      // A new process has none of the records that its predecessor received.
      vm.crashes_received = vm.crashes_incarnation == frame.incarnation
                                ? reply.crashes_received()
                                : 0;
      vm.crashes_incarnation = frame.incarnation;
      if (!reply.without_directory()) {
        vm.incarnation = frame.incarnation;
        vm.directory_count = reply.directory_count();
        changes = MergeRecords(known_servers, records, *vm.replied_at);
        Remember(frame.sender, reply, *vm.replied_at, changes);
        vm.has_more_records = reply.more_records();
        has_directory = has_directory || !vm.has_more_records;
        if (vm.has_more_records) {
          poll_now = true;
          changed.notify_all();
        }
      }
      if (update) {
        plan = FollowEntryNodes(frame, *update);
      }
    }
    if (plan) {
      events.on_plan(std::move(*plan));
    }
    if (!changes.empty()) {
      events.on_servers(std::move(changes));
    }
  }

  // Requires `mutex`.
  void Remember(const NodeId& control_vm,
                const proto::EntryPollReply& reply,
                SteadyTime now,
                std::vector<ServerChange>& changes) {
    const auto remembered = AddRememberedServers(
        known_servers, ReadRecords(control_vm, reply.remembered()),
        now + settings.remembered_server_lifetime);
    if (!remembered.empty()) {
      telemetry::LogEvent(LogLevel::kInfo, "servers_remembered",
                          {{"control_vm", control_vm.value},
                           {"servers", std::to_string(remembered.size())}});
      changes.insert(changes.end(), remembered.begin(), remembered.end());
    }
  }

  // Returns the new plan if it changed. Requires `mutex`.
  std::optional<ConnectionPlan> FollowEntryNodes(
      const peer::PeerFrame& frame,
      const node_list::NodeListUpdate& update) {
    const auto result = ApplyUpdate(entry_nodes, update, frame.incarnation);
    if (result == node_list::UpdateResult::kRefused) {
      telemetry::LogEvent(LogLevel::kWarning, "entry_nodes_refused",
                          {{"control_vm", frame.sender.value},
                           {"version", std::to_string(update.to)}});
    }
    if (result != node_list::UpdateResult::kChanged) {
      return std::nullopt;
    }
    auto plan = MakeConnectionPlan(entry_nodes.list, settings.node,
                                   settings.failure_domain);
    if (!plan || *plan == last_plan) {
      return std::nullopt;
    }
    last_plan = *plan;
    return plan;
  }

  void OnEvacuation(const routes::EvacuatedDomains& newest,
                    const proto::EntryPollReply& reply) {
    bool is_unconfirmed = false;
    {
      std::lock_guard lock(mutex);
      evacuation_known = evacuation_known || reply.evacuation_known();
      is_unconfirmed = !evacuation_known && (evacuation_unconfirmed ||
                                             reply.evacuation_unconfirmed());
      const bool changed_here = is_unconfirmed != evacuation_unconfirmed;
      evacuation_unconfirmed = is_unconfirmed;
      if (!routes::FollowNewer(evacuated, newest) && !changed_here) {
        return;
      }
    }
    events.on_evacuation(newest, is_unconfirmed);
  }

  void OnRoutes(const proto::EntryPollReply& reply) {
    const uint64_t version = RoutesVersion(reply);
    FollowedText followed;
    {
      std::lock_guard lock(mutex);
      if (version <= routes_text.version) {
        return;
      }
      followed = routes_text;
    }
    try {
      followed = ReadText(followed, reply);
    } catch (const routes::RouteError& e) {
      OnTextRefused(version, e);
      return;
    }
    try {
      auto table = std::make_shared<const routes::RouteTable>(
          routes::BuildRouteTable(codec.parse_routes(followed.text)));
      const allotments::Limits limits =
          allotments::LimitsOf(table->set.organisations);
      allotments.SetLimits(limits, BootTime());
      {
        std::lock_guard lock(mutex);
        routes_text = std::move(followed);
        // New limits need a grant.
        poll_now = poll_now || !limits.empty();
      }
      changed.notify_all();
      telemetry::LogEvent(
          LogLevel::kInfo, "routes_in_force",
          {{"version", std::to_string(version)},
           {"routes", std::to_string(table->set.routes.size())},
           {"sent_as", reply.has_route_difference() ? "difference" : "whole"}});
      events.on_routes(std::move(table));
    } catch (const routes::RouteError& e) {
      // The control VMs validate routes before they accept them, so this node
      // runs a release with stricter validation. The current routes stay in
      // force.
      telemetry::LogEvent(
          LogLevel::kError, "routes_refused",
          {{"version", std::to_string(version)}, {"error", e.what()}});
    }
  }

  // Requests the whole text with the next poll.
  void OnTextRefused(uint64_t version, const routes::RouteError& error) {
    telemetry::LogEvent(
        LogLevel::kError, "routes_text_refused",
        {{"version", std::to_string(version)}, {"error", error.what()}});
    std::lock_guard lock(mutex);
    // Only once, so that a damaged whole text is not requested at the rate of
    // the replies.
    poll_now = poll_now || routes_text.hash != 0;
    routes_text.hash = 0;
    changed.notify_all();
  }

  const EntrySettings settings;
  const EntryCodec& codec;
  claims::SharedCrashHistory& crash_history;
  allotments::SharedNodeAllotments& allotments;
  const ControlEvents events;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  std::map<NodeId, ControlVm> vms;
  NodeId source;
  // Of the routes in force.
  FollowedText routes_text;
  bool has_directory = false;
  std::optional<SteadyTime> last_reply_at;
  bool in_contact = true;
  routes::EvacuatedDomains evacuated;
  // A control VM knows the newest orders, or has some that may not be them.
  bool evacuation_known = false;
  bool evacuation_unconfirmed = false;
  bool stopping = false;
  // The failure domain of a control VM became known during startup, a reply
  // left out records, or there are new limits.
  bool poll_now = false;
  // A poll of this round has a report of allotments.
  bool has_reported = false;
  KnownServers known_servers;
  ConnectionPlan last_plan;
  // `last_plan` was computed from the last list that contained this node.
  node_list::FollowedNodeList entry_nodes;
  // Counter for polling control VMs of other failure domains in turn.
  size_t next_other = 0;
  std::condition_variable changed;

  peer::PeerSocket socket;
  std::thread thread;
};

ControlPoller::ControlPoller(const EntrySettings& settings,
                             const EntryCodec& codec,
                             claims::SharedCrashHistory& crash_history,
                             allotments::SharedNodeAllotments& allotments,
                             ControlEvents events)
    : impl_(std::make_unique<Impl>(settings,
                                   codec,
                                   crash_history,
                                   allotments,
                                   std::move(events))) {}

ControlPoller::~ControlPoller() = default;

void ControlPoller::AddControlVms(const std::vector<NodeId>& nodes) {
  impl_->AddControlVms(nodes);
}

bool ControlPoller::IsReady() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->routes_text.version > 0 && impl_->has_directory;
}

ControlPollerStatus ControlPoller::Status() const {
  ControlPollerStatus status;
  status.frames = impl_->socket.Stats();
  std::lock_guard lock(impl_->mutex);
  status.routes_version = impl_->routes_text.version;
  for (const auto& [node, vm] : impl_->vms) {
    status.replied_at = std::max(status.replied_at, vm.replied_at);
  }
  return status;
}

}  // namespace gooseberryrock::entry
