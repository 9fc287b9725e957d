// Control VM process.

#include "gooseberryrock/control/control_node.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "allotment_exchange.h"
#include "control_peers.h"
#include "entry_node_lists.h"
#include "evacuation_calls.h"
#include "evacuation_view.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/claims/shared_crash_history.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/control_codec.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/control/control_settings.h"
#include "gooseberryrock/control/log_gauges.h"
#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/control/member_repair.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/monitoring/metrics_server.h"
#include "gooseberryrock/monitoring/peer_counters.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/incarnation.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/proto/convert_evacuation.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/storage/file_operations.h"
#include "gooseberryrock/storage/server_list.h"
#include "gooseberryrock/storage/storage_error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/web_server.h"
#include "gooseberryrock/transport/worker_pool.h"
#include "member_maintenance.h"
#include "peer.pb.h"
#include "registry.h"
#include "route_calls.h"
#include "route_confirmer.h"
#include "route_updates.h"

namespace gooseberryrock::control {

namespace {

using telemetry::Gauge;
using telemetry::LogLevel;

// Time after a start during which the list of entry nodes may be incomplete and
// is not sent: with an incomplete list, each entry node would take too large a
// share of the servers' connections. The list is complete after three hellos.
constexpr Duration kEntryNodeDiscoveryTime = std::chrono::milliseconds(1500);
// With leader contact within this time, this VM counts as up to date. Longer
// than an election.
constexpr Duration kContactTime = std::chrono::milliseconds(1500);
// Operators have up to eight commands in progress, each of which blocks a
// thread while it waits for the log. The other workers serve reads.
constexpr unsigned kWorkers = 10;
constexpr size_t kMaxWaitingCalls = 64;
constexpr size_t kMaxCallBytes = size_t{4} << 20U;
// Time after a start for which the stored server list is kept unchanged. Leaves
// servers time for two announcements, 1.2 s apart.
constexpr Duration kKeepStoredListTime = std::chrono::milliseconds(2500);
// Minimum interval between writes of the server list, which only needs to be
// approximately current.
constexpr Duration kSaveServersInterval = std::chrono::seconds(1);
// Crash records are sent to the other control VMs for this long after a change,
// so that the loss of a few frames does not matter.
constexpr Duration kCrashNoticeTime = std::chrono::seconds(3);
// Limits the size of a frame.
constexpr size_t kMaxCrashNotices = 64;
// Bounds the delay of a stop by a read without a leader.
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr Duration kStopCheck = std::chrono::milliseconds(20);

peer::PeerSocketOptions SocketOptions(const ControlSettings& settings,
                                      uint64_t incarnation) {
  peer::PeerSocketOptions options;
  options.cluster = settings.cluster;
  options.cluster_key = settings.cluster_key;
  options.self = {settings.node, settings.node.value, settings.peer_port};
  options.incarnation = incarnation;
  options.heartbeat_interval = settings.peer_heartbeat_interval;
  options.heartbeat_timeout = settings.peer_heartbeat_timeout;
  return options;
}

ReplicatedLogOptions LogOptions(const ControlSettings& settings) {
  ReplicatedLogOptions options;
  options.self = settings.node;
  options.cluster = settings.cluster;
  options.data_folder = settings.data_folder;
  if (settings.first_start) {
    for (const NodeId& it : settings.control_vms) {
      options.initial_members[it] = it.value;
    }
  }
  return options;
}

transport::WebLimits CallLimits(const ControlSettings& settings) {
  transport::WebLimits limits;
  // At the smallest size of a VM an operator's largest request must fit in.
  limits.held_bytes = std::max(settings.caller_memory_bytes, 2 * kMaxCallBytes);
  limits.connections = transport::DeriveConnectionLimits(
      transport::DescriptorLimit(), settings.caller_connections);
  limits.body_bytes = kMaxCallBytes;
  return limits;
}

}  // namespace

struct ControlNode::Impl {
  Impl(const ControlSettings& node_settings, const ControlCodec& node_codec)
      : settings(node_settings),
        codec(node_codec),
        policy(MakeRepairPolicy(node_settings.tolerated_losses,
                                node_settings.replacement_time)),
        incarnation(peer::MakeIncarnation()),
        peers(settings.node, settings.failure_domain),
        entry_nodes(incarnation),
        registry(
            settings.node,
            incarnation,
            started_at,
            [this](const NodeId& to, peer::FrameKind kind, std::string body) {
              socket->Send(to, kind, std::move(body));
            }) {
    socket.emplace(SocketOptions(settings, incarnation),
                   [this](const peer::PeerFrame& it) { OnFrame(it); });
    AddControlVms(settings.control_vms);
    allotments.emplace(settings.allotments, codec, AllotmentConnections());
    LoadRememberedServers();
    StateMachine machine = MakeStateMachine(
        state, [](const auto& /*catalog*/) {},
        [this](const StoredRoutes& it) {
          route_updates.OnStored(it);
          allotments->SetRoutes(it);
        },
        [this](const routes::EvacuatedDomains& it) {
          evacuation.OnApplied(it);
        });
    machine.on_stored = [this](std::string_view payload) {
      if (IsEvacuationOrder(payload)) {
        evacuation.OnPending();
      }
    };
    log.emplace(LogOptions(settings), std::move(machine),
                [this](const NodeId& to, std::string body) {
                  socket->Send(to, peer::FrameKind::kConsensus,
                               std::move(body));
                });
    members.emplace(settings.node, settings.tolerated_losses, policy, peers,
                    *log, started_at);
    client.emplace(
        ControlClientOptions{settings.node, {settings.node}}, &*log,
        [this](const NodeId& to, const proto::ForwardRequest& it) {
          socket->Send(to, peer::FrameKind::kForwardRequest,
                       it.SerializeAsString());
        },
        [this](const peer::PeerProcess& to, const proto::ForwardReply& it) {
          socket->Reply(to, peer::FrameKind::kForwardReply,
                        it.SerializeAsString());
        },
        [this](const proto::ForwardRequest& call) {
          return StoredRoutesReply(call);
        });
    route_confirmer.emplace(*client, settings.route_confirmation_interval);
    {
      std::lock_guard lock(frame_mutex);
      started = true;
    }
    workers.emplace(kWorkers, kMaxWaitingCalls);
    workers->Post([this] { LearnEvacuation(); });
    server.emplace(
        std::vector<transport::IoThread*>{&io}, settings.endpoint,
        CallLimits(settings),
        [this](size_t /*thread*/, std::shared_ptr<transport::Exchange> it) {
          Handle(std::move(it));
        });
    if (!settings.metrics_endpoint.host.empty()) {
      metrics_server.emplace(io, settings.metrics_endpoint, metrics,
                             [this] { UpdateMetrics(); });
    }
    maintenance = std::thread([this] { RunMaintenance(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    changed.notify_all();
    maintenance.join();
    route_confirmer.reset();
    allotments->Stop();
    io.Stop();
    workers.reset();
    {
      // The log sends through the socket and must be destroyed first. Frames
      // received in the meantime are dropped.
      std::lock_guard lock(frame_mutex);
      started = false;
    }
    log.reset();
    socket.reset();
  }

  void AddControlVms(const std::vector<NodeId>& nodes) {
    for (const NodeId& it : nodes) {
      if (peers.AddVm(it)) {
        socket->AddPeer({it, it.value, settings.peer_port});
      }
    }
  }

  // API calls of backend servers and operators.

  void Handle(std::shared_ptr<transport::Exchange> exchange) {
    const ControlCall call = codec.parse_call(exchange->request());
    if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
      const SteadyTime now = BootTime();
      Increment(metrics, telemetry::Counter::kAnnouncements);
      registry.Announce(announce->record, peers.Vms(), now);
      exchange->Respond(
          codec.encode_announced(NextEndpoint(announce->record, now)));
    } else if (const auto* withdraw = std::get_if<WithdrawCall>(&call)) {
      registry.Withdraw(*withdraw, peers.Vms(), BootTime());
      exchange->Respond(codec.encode_accepted());
    } else if (const auto* put = std::get_if<PutRoutesCall>(&call)) {
      RunCall(std::move(exchange),
              [this, put = *put] { return PutRoutes(RouteContext(), put); });
    } else if (std::holds_alternative<ReadRoutesCall>(call)) {
      RunCall(std::move(exchange),
              [this] { return ReadRoutes(RouteContext()); });
    } else if (const auto* evacuate = std::get_if<EvacuateCall>(&call)) {
      RunEvacuation(std::move(exchange), *evacuate);
    } else if (const auto* malformed = std::get_if<MalformedCall>(&call)) {
      telemetry::LogEvent(LogLevel::kWarning, "call_malformed",
                          {{"error", malformed->error}});
      exchange->Respond(codec.encode_invalid(malformed->error));
    } else {
      exchange->Respond(codec.encode_unknown());
    }
  }

  // Directs a server to a control VM in its own failure domain to reduce
  // traffic between domains.
  std::optional<transport::Endpoint> NextEndpoint(
      const directory::ServerRecord& record,
      SteadyTime now) const {
    const NodeId vm = peers.FindVmIn(record.failure_domain, now);
    if (vm.empty() || vm == settings.node) {
      return std::nullopt;
    }
    return transport::Endpoint{vm.value, settings.endpoint.port};
  }

  // Runs `call`, which may block, on a worker thread and responds on the I/O
  // thread.
  void RunCall(std::shared_ptr<transport::Exchange> exchange,
               std::function<transport::Response()> call) {
    auto task = [this, exchange, call = std::move(call)]() mutable {
      auto response = std::make_shared<transport::Response>(call());
      io.Post([exchange = std::move(exchange), response] {
        exchange->Respond(std::move(*response));
      });
    };
    if (!workers->Post(std::move(task))) {
      telemetry::LogEvent(LogLevel::kWarning, "call_refused",
                          {{"reason", "too_many_calls"}});
      exchange->Respond(codec.encode_outcome_unknown());
    }
  }

  void RunEvacuation(std::shared_ptr<transport::Exchange> exchange,
                     const EvacuateCall& call) {
    auto caller_gone = std::make_shared<std::atomic<bool>>(false);
    exchange->OnCallerDisconnected([caller_gone] { *caller_gone = true; });
    RunCall(std::move(exchange), [this, call, caller_gone] {
      return Evacuate(
          {codec, *client, [caller_gone] { return caller_gone->load(); }},
          call);
    });
  }

  // Asks until the leader answers. On a worker thread.
  void LearnEvacuation() {
    while (!evacuation.is_known() && !IsStopping()) {
      if (const auto evacuated = ReadEvacuation(*client, kReadTimeout)) {
        evacuation.OnConfirmed(*evacuated);
      }
    }
  }

  bool IsStopping() {
    std::lock_guard lock(mutex);
    return stopping;
  }

  RouteCallContext RouteContext() { return {codec, *client, *log, metrics}; }

  // On the I/O thread.
  void UpdateMetrics() {
    const SteadyTime now = BootTime();
    SetLogGauges(metrics, log->Status(), settings.node);
    SetVoterGauges(metrics, members->Assess(now));
    const ServerCounts servers = registry.CountServers();
    SetGauge(metrics, Gauge::kServersReady, static_cast<double>(servers.ready));
    SetGauge(metrics, Gauge::kServersDraining,
             static_cast<double>(servers.draining));
    SetGauge(metrics, Gauge::kPeersReachable,
             static_cast<double>(peers.CountPresent(now)));
    SetGauge(metrics, Gauge::kEntryNodes,
             static_cast<double>(entry_nodes.Count()));
    SetGauge(metrics, Gauge::kRoutesVersion,
             static_cast<double>(route_updates.Version()));
    const peer::PeerStats stats = socket->Stats();
    IncrementTo(metrics, telemetry::Counter::kBadRequests, counted_malformed,
                server->MalformedRequests());
    IncrementTo(metrics, telemetry::Counter::kCallersRefused, counted_refused,
                server->ConnectionsRefused());
    IncrementTo(metrics, telemetry::Counter::kCallersEvicted, counted_evicted,
                server->ConnectionsEvicted());
    monitoring::CountPeerFrames(metrics, counted_frames, stats);
    counted_frames = stats;
  }

  AllotmentExchange::Connections AllotmentConnections() {
    return {[this](const std::string& totals) {
              for (const NodeId& it : peers.Vms()) {
                socket->Send(it, peer::FrameKind::kAllotmentTotals, totals);
              }
            },
            [this] { return entry_nodes.Count(); },
            [this] { return entry_nodes.FindMovedNodes(BootTime()); }};
  }

  // The replicated log.

  // On the log's thread, which owns `state`.
  std::string StoredRoutesReply(const proto::ForwardRequest& call) const {
    proto::ForwardReply reply;
    if (call.has_confirm_routes()) {
      reply.mutable_newest_routes()->set_version(state.routes.version);
      return reply.SerializeAsString();
    }
    if (call.has_read_evacuation()) {
      *reply.mutable_evacuated() = proto::ToMessage(state.evacuated);
      return reply.SerializeAsString();
    }
    reply.mutable_routes()->set_version(state.routes.version);
    reply.mutable_routes()->set_compressed_text(state.routes.compressed_text);
    return reply.SerializeAsString();
  }

  // Frames from other nodes; handled on the peer thread.

  void OnFrame(const peer::PeerFrame& frame) {
    std::lock_guard lock(frame_mutex);
    if (!started) {
      return;
    }
    const SteadyTime now = BootTime();
    switch (frame.kind) {
      case peer::FrameKind::kConsensus:
        log->OnMessage(frame.body);
        break;
      case peer::FrameKind::kForwardRequest:
        client->OnRequestFrame({frame.sender, frame.incarnation}, frame.body);
        break;
      case peer::FrameKind::kForwardReply:
        client->OnReplyFrame(frame.body);
        break;
      case peer::FrameKind::kDirectoryDelta:
      case peer::FrameKind::kDirectoryDigest:
      case peer::FrameKind::kDirectoryPull:
        registry.OnFrame(frame, now);
        break;
      case peer::FrameKind::kControlHello:
        OnHello(frame, now);
        break;
      case peer::FrameKind::kAllotmentTotals:
        allotments->OnTotals(frame, now);
        break;
      case peer::FrameKind::kEntryPoll:
        OnEntryPoll(frame, now);
        break;
      default:
        break;
    }
  }

  void OnHello(const peer::PeerFrame& frame, SteadyTime now) {
    const auto hello = proto::Parse<proto::ControlHello>(frame.body);
    ControlPeer peer;
    peer.domain = {hello.failure_domain()};
    peer.contact = {hello.storage_id(), now, hello.leaving()};
    AddControlVms({frame.sender});
    peers.OnHello(frame.sender, std::move(peer));
    entry_nodes.OnHello(frame, hello, now);
    std::vector<NodeId> others;
    for (const std::string& it : hello.control_vms()) {
      others.push_back({it});
    }
    AddControlVms(others);
    registry.OnSentCount(frame, hello.directory_count());
    crash_history.MergeNotices(proto::ReadCrashNotices(hello.crashes()), now);
  }

  void OnEntryPoll(const peer::PeerFrame& frame, SteadyTime now) {
    const auto poll = proto::Parse<proto::EntryPoll>(frame.body);
    if (entry_nodes.OnPoll(frame.sender, {poll.failure_domain()}, now)) {
      socket->AddPeer({frame.sender, frame.sender.value, settings.peer_port});
    }
    proto::EntryPollReply reply;
    reply.set_failure_domain(settings.failure_domain.value);
    const LogStatus status = log->Status();
    reply.set_current(status.contact_at &&
                      now - *status.contact_at < kContactTime);
    registry.AnswerPoll(poll, reply, now);
    ExchangeCrashes(poll, reply, now);
    route_confirmer->AnswerPoll(poll, reply, now);
    allotments->AnswerPoll(frame, poll, reply, now);
    evacuation.AnswerPoll(poll, reply);
    for (const NodeId& it : peers.Vms()) {
      reply.add_control_vms(it.value);
    }
    if (now - started_at >= kEntryNodeDiscoveryTime) {
      entry_nodes.AnswerPoll(poll, reply);
    }
    route_updates.AnswerPoll(poll, reply);
    socket->Reply({frame.sender, frame.incarnation},
                  peer::FrameKind::kEntryPollReply, reply.SerializeAsString());
  }

  // Other nodes must know the records before the caller of a request sends it
  // again, so that new ones are sent on at once.
  void ExchangeCrashes(const proto::EntryPoll& poll,
                       proto::EntryPollReply& reply,
                       SteadyTime now) {
    if (crash_history.MergeNotices(proto::ReadCrashNotices(poll.crashes()),
                                   now)) {
      SendHelloNow();
    }
    const bool has_earlier = poll.crashes_incarnation() == incarnation;
    const auto crashes = crash_history.NoticesSince(
        has_earlier ? poll.crashes_known() : 0, kMaxCrashNotices, now);
    proto::AddCrashNotices(crashes.notices, *reply.mutable_crashes());
    reply.set_crashes_count(crashes.changes);
    reply.set_crashes_received(poll.crashes_count());
  }

  // Periodic tasks.

  void RunMaintenance() {
    SteadyTime next_hello;
    std::unique_lock lock(mutex);
    while (!stopping) {
      const SteadyTime now = BootTime();
      const bool hello_due = now >= next_hello || hello_now;
      hello_now = false;
      const bool is_leaving = leaving;
      lock.unlock();
      if (hello_due) {
        next_hello = now + policy.hello_interval;
        SendHellos(is_leaving, now);
      }
      members->Check(now);
      SaveServers(now);
      lock.lock();
      changed.wait_for(lock, policy.check_interval,
                       [this] { return stopping || hello_now; });
    }
  }

  void SendHellos(bool is_leaving, SteadyTime now) {
    for (const NodeId& it : entry_nodes.RemoveLost(now)) {
      socket->RemovePeer(it);
    }
    const std::vector<NodeId> vms = peers.Vms();
    registry.Exchange(vms, now);
    proto::ControlHello hello;
    hello.set_failure_domain(settings.failure_domain.value);
    hello.set_storage_id(log->storage_id());
    hello.set_leaving(is_leaving);
    for (const NodeId& it : vms) {
      hello.add_control_vms(it.value);
    }
    proto::AddCrashNotices(crash_history.RecentNotices(now - kCrashNoticeTime,
                                                       kMaxCrashNotices, now),
                           *hello.mutable_crashes());
    for (const NodeId& it : vms) {
      hello.set_directory_count(registry.SentCount(it));
      entry_nodes.FillHello(it, hello);
      socket->Send(it, peer::FrameKind::kControlHello,
                   hello.SerializeAsString());
    }
  }

  void LoadRememberedServers() {
    try {
      auto records = storage::LoadServerList(storage::PosixFileOperations(),
                                             settings.data_folder);
      telemetry::LogEvent(LogLevel::kInfo, "servers_loaded",
                          {{"servers", std::to_string(records.size())}});
      registry.SetRememberedServers(
          std::move(records), started_at + settings.remembered_servers_time);
    } catch (const storage::StorageError& e) {
      telemetry::LogEvent(LogLevel::kWarning, "servers_not_loaded",
                          {{"error", e.what()}});
    }
  }

  // Stores the server list for the next start. The previous list is kept until
  // servers have had time to announce themselves.
  void SaveServers(SteadyTime now) {
    const uint64_t count = registry.ChangeCount();
    if (saving_servers || count == saved_count || now < next_save ||
        now < started_at + kKeepStoredListTime) {
      return;
    }
    next_save = now + kSaveServersInterval;
    saving_servers = true;
    const bool posted = workers->Post([this, count] {
      try {
        storage::SaveServerList(storage::PosixFileOperations(),
                                settings.data_folder, registry.ReadyServers());
        saved_count = count;
      } catch (const storage::StorageError& e) {
        telemetry::LogEvent(LogLevel::kWarning, "servers_not_saved",
                            {{"error", e.what()}});
      }
      saving_servers = false;
    });
    if (!posted) {
      saving_servers = false;
    }
  }

  // The leader then lets another VM take over the vote of this one.
  void AnnounceLeaving() {
    {
      std::lock_guard lock(mutex);
      leaving = true;
    }
    SendHelloNow();
  }

  void SendHelloNow() {
    {
      std::lock_guard lock(mutex);
      hello_now = true;
    }
    changed.notify_all();
  }

  const ControlSettings settings;
  const ControlCodec& codec;
  const RepairPolicy policy;
  const uint64_t incarnation;
  const SteadyTime started_at = BootTime();

  std::mutex mutex;
  // Guarded by `mutex`.
  bool stopping = false;
  bool leaving = false;
  bool hello_now = false;
  std::condition_variable changed;

  // Used on the log's thread only.
  ControlState state;
  // Held while a frame is being handled.
  std::mutex frame_mutex;
  // Guarded by `frame_mutex`. Frames are handled only while all components
  // exist.
  bool started = false;
  // Limits a hanging disk to blocking one worker.
  std::atomic<bool> saving_servers = false;
  std::atomic<uint64_t> saved_count = 0;
  // Used by the maintenance thread only.
  SteadyTime next_save;

  telemetry::Metrics metrics;
  // Used on the I/O thread only.
  peer::PeerStats counted_frames;
  uint64_t counted_malformed = 0;
  uint64_t counted_refused = 0;
  uint64_t counted_evicted = 0;
  transport::IoThread io;
  ControlPeers peers;
  EntryNodeLists entry_nodes;
  RouteUpdates route_updates;
  claims::SharedCrashHistory crash_history;
  EvacuationView evacuation;
  std::optional<peer::PeerSocket> socket;
  Registry registry;
  std::optional<AllotmentExchange> allotments;
  std::optional<ReplicatedLog> log;
  std::optional<MemberMaintenance> members;
  std::optional<ControlClient> client;
  std::optional<RouteConfirmer> route_confirmer;
  std::optional<transport::WorkerPool> workers;
  std::optional<transport::WebServer> server;
  std::optional<monitoring::MetricsServer> metrics_server;
  std::thread maintenance;
};

ControlNode::ControlNode(const ControlSettings& settings,
                         const ControlCodec& codec)
    : impl_(std::make_unique<Impl>(settings, codec)) {}

ControlNode::~ControlNode() = default;

void ControlNode::AddControlVms(const std::vector<NodeId>& nodes) {
  impl_->AddControlVms(nodes);
}

void ControlNode::Drain() {
  impl_->AnnounceLeaving();
  impl_->log->TransferLeadership();
  impl_->server->StartDraining();
  impl_->server->StopAccepting();
  const SteadyTime end = BootTime() + impl_->settings.drain_time;
  std::mutex wait_mutex;
  std::condition_variable wait;
  std::unique_lock lock(wait_mutex);
  while ((impl_->server->OpenConnections() > 0 ||
          impl_->members->IsHandingOver(BootTime())) &&
         BootTime() < end) {
    wait.wait_for(lock, kStopCheck, [] { return false; });
  }
}

}  // namespace gooseberryrock::control
