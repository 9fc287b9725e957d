// A query node.

#include "gooseberryrock/node/node.h"
#include "gooseberryrock/monitoring/peer_counters.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/control/log_gauges.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/http/http_server.h"
#include "gooseberryrock/node/at_most_once.h"
#include "gooseberryrock/node/catalog_store.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/node/crash_guard.h"
#include "gooseberryrock/node/directory_replica.h"
#include "gooseberryrock/node/drain_gate.h"
#include "gooseberryrock/node/frame_dispatcher.h"
#include "gooseberryrock/node/http_api.h"
#include "gooseberryrock/node/node_gauges.h"
#include "gooseberryrock/node/operator_api.h"
#include "gooseberryrock/node/peer_loop.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/incarnation.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/peer/peer_stats.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/settings/settings.h"
#include "gooseberryrock/storage/storage_error.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

// Attempt and claim ids start at the start time in microseconds since 1970
// times this factor. They exceed the ids of earlier incarnations as long as a
// node allocates fewer than this many ids per microsecond of uptime.
constexpr uint64_t kIdsPerMicrosecond = 16;

uint64_t Incarnation() {
  return peer::MakeIncarnation() * kIdsPerMicrosecond;
}

std::string AddressText(const settings::Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

QueryEngineOptions EngineOptions(const settings::Settings& settings,
                                 uint64_t incarnation) {
  QueryEngineOptions options;
  options.failure_domain = settings.failure_domain;
  options.query_shards = settings.query_shards;
  options.io_shards = settings.io_shards;
  options.first_attempt = incarnation;
  return options;
}

DirectoryReplicaOptions DirectoryOptions(const settings::Settings& settings) {
  DirectoryReplicaOptions options;
  options.self = settings.node;
  options.nodes[settings.node] = settings.failure_domain;
  for (const auto& peer : settings.peers) {
    options.nodes[peer.node] = peer.failure_domain;
  }
  return options;
}

ClusterView::PeerMap PeerViews(const settings::Settings& settings) {
  ClusterView::PeerMap peers;
  for (const auto& peer : settings.peers) {
    PeerView view;
    view.failure_domain = peer.failure_domain;
    view.control = peer.control;
    peers[peer.node] = view;
  }
  return peers;
}

// The other control VMs, those in this failure domain first.
std::vector<NodeId> ControlPeers(const settings::Settings& settings) {
  std::vector<NodeId> own;
  std::vector<NodeId> others;
  for (const auto& peer : settings.peers) {
    if (peer.control) {
      const bool same_domain = peer.failure_domain == settings.failure_domain;
      (same_domain ? own : others).push_back(peer.node);
    }
  }
  own.insert(own.end(), others.begin(), others.end());
  return own;
}

std::vector<NodeId> DomainPeers(const settings::Settings& settings) {
  std::vector<NodeId> peers;
  for (const auto& peer : settings.peers) {
    if (peer.failure_domain == settings.failure_domain) {
      peers.push_back(peer.node);
    }
  }
  return peers;
}

bool IsControl(const settings::Settings& settings) {
  return !settings.data_folder.empty();
}

control::ControlClientOptions ClientOptions(
    const settings::Settings& settings) {
  control::ControlClientOptions options{settings.node, ControlPeers(settings)};
  if (IsControl(settings)) {
    options.control_nodes.insert(options.control_nodes.begin(), settings.node);
  }
  return options;
}

// Creates the data folder if it is missing. The VM then has a new storage id
// and does not vote until an operator replaces it.
void EnsureDataFolder(const std::string& folder) {
  std::error_code ec;
  std::filesystem::create_directory(folder, ec);
  if (ec) {
    throw storage::StorageError(
        folder + ": cannot create the data folder: " + ec.message());
  }
}

control::ReplicatedLogOptions LogOptions(const settings::Settings& settings) {
  control::ReplicatedLogOptions options;
  options.self = settings.node;
  options.cluster = settings.cluster;
  options.data_folder = settings.data_folder;
  if (!settings.join_existing_log) {
    options.initial_members[settings.node] = AddressText(settings.peer_address);
    for (const auto& peer : settings.peers) {
      if (peer.control) {
        options.initial_members[peer.node] = AddressText(peer.peer_address);
      }
    }
  }
  return options;
}

peer::PeerSocketOptions SocketOptions(const settings::Settings& settings,
                                      uint64_t incarnation) {
  peer::PeerSocketOptions options;
  options.cluster = settings.cluster;
  options.cluster_key = settings.cluster_key;
  options.self = {settings.node, settings.peer_address.host,
                  settings.peer_address.port};
  options.incarnation = incarnation;
  for (const auto& peer : settings.peers) {
    options.peers.push_back(
        {peer.node, peer.peer_address.host, peer.peer_address.port});
  }
  return options;
}

http::HttpServerOptions ServerOptions(const settings::Settings& settings) {
  http::HttpServerOptions options;
  options.host = settings.http_address.host;
  options.port = settings.http_address.port;
  options.threads = settings.http_threads;
  return options;
}

}  // namespace

struct Node::Impl {
  explicit Impl(const settings::Settings& node_settings)
      : settings(node_settings),
        incarnation(Incarnation()),
        crash_guard(settings.node,
                    [this](const auto& it) { SendCrashSuspicion(it); }),
        engine(EngineOptions(settings, incarnation),
               views,
               crash_guard,
               metrics),
        cluster(PeerViews(settings)),
        socket(SocketOptions(settings, incarnation),
               [this](const peer::PeerFrame& it) { dispatcher.Dispatch(it); }),
        directory(DirectoryOptions(settings), views, engine, metrics, Sender()),
        catalog([this](const auto& it) { ApplyCatalog(it); }) {
    if (IsControl(settings)) {
      EnsureDataFolder(settings.data_folder);
      log.emplace(
          LogOptions(settings),
          control::MakeStateMachine(
              control_state, [this](const auto& it) { catalog.Put(it); },
              [](const auto& /*routes*/) {}),
          [this](const NodeId& to, std::string body) {
            socket.Send(to, peer::FrameKind::kConsensus, std::move(body));
          });
    }
    control.emplace(
        ClientOptions(settings), LogOrNull(),
        [this](const NodeId& to, const proto::ForwardRequest& it) {
          socket.Send(to, peer::FrameKind::kForwardRequest,
                      it.SerializeAsString());
        },
        [this](const peer::PeerProcess& to, const proto::ForwardReply& it) {
          socket.Reply(to, peer::FrameKind::kForwardReply,
                       it.SerializeAsString());
        },
        [this](const proto::ForwardRequest& /*call*/) {
          return ReadCatalog();
        });
    peer_loop.emplace(MakePeerLoopDependencies());
    at_most_once.emplace(settings.node, incarnation, *control, engine, metrics);
    operator_api.emplace(MakeOperatorApiDependencies());
    RegisterHandlers();
    http_api.emplace(MakeHttpApiDependencies());
    server.emplace(ServerOptions(settings),
                   [this](const auto& it) { return http_api->Handle(it); });
  }

  // Components that run or are called on other threads are stopped before the
  // components that they use.
  ~Impl() {
    server.reset();
    dispatcher.Close();
    peer_loop.reset();
    log.reset();
  }

  DirectoryReplica::FrameSender Sender() {
    return [this](const NodeId& to, peer::FrameKind kind, std::string body) {
      socket.Send(to, kind, std::move(body));
    };
  }

  void SendCrashSuspicion(const claims::CrashSuspicion& suspicion) {
    const std::string body = proto::ToMessage(suspicion).SerializeAsString();
    for (const auto& [node, peer] : cluster.Peers()) {
      socket.Send(node, peer::FrameKind::kCrashSuspicion, body);
    }
  }

  void OnCrashSuspicion(const peer::PeerFrame& frame) {
    crash_guard.OnCrashSuspicion(
        frame.sender,
        proto::FromMessage(proto::Parse<proto::CrashSuspicion>(frame.body)),
        std::chrono::steady_clock::now());
  }

  control::ReplicatedLog* LogOrNull() { return log ? &*log : nullptr; }

  void ApplyCatalog(const catalog::Catalog& it) {
    directory.OnCatalog(it);
    std::vector<ServiceName> services;
    for (const auto& [name, definition] : it.services) {
      services.push_back(name);
    }
    telemetry::SetServices(metrics, services);
  }

  // Runs on the replicated log thread, which owns `control_state`.
  std::string ReadCatalog() const {
    proto::ForwardReply reply;
    auto& catalog_reply = *reply.mutable_catalog();
    *catalog_reply.mutable_catalog() = proto::ToMessage(control_state.catalog);
    catalog_reply.set_current(true);
    return reply.SerializeAsString();
  }

  PeerLoopDependencies MakePeerLoopDependencies() {
    PeerLoopDependencies deps;
    deps.self = settings.node;
    deps.failure_domain = settings.failure_domain;
    deps.control_peers = ControlPeers(settings);
    deps.domain_peers = DomainPeers(settings);
    deps.has_log = log.has_value();
    deps.catalog = &catalog;
    deps.cluster = &cluster;
    deps.directory = &directory;
    deps.send = Sender();
    return deps;
  }

  OperatorApiDependencies MakeOperatorApiDependencies() {
    OperatorApiDependencies deps;
    deps.self = settings.node;
    deps.failure_domain = settings.failure_domain;
    deps.token = settings.operator_token;
    deps.control = &*control;
    deps.catalog = &catalog;
    deps.directory = &directory;
    deps.cluster = &cluster;
    deps.log = LogOrNull();
    deps.metrics = &metrics;
    return deps;
  }

  HttpApiDependencies MakeHttpApiDependencies() {
    HttpApiDependencies deps;
    deps.max_in_flight = settings.max_in_flight;
    deps.engine = &engine;
    deps.at_most_once = &*at_most_once;
    deps.directory = &directory;
    deps.operator_api = &*operator_api;
    deps.gate = &gate;
    deps.metrics = &metrics;
    deps.has_catalog = [this] { return peer_loop->HasCatalog(); };
    deps.update_gauges = [this] { UpdateGauges(); };
    return deps;
  }

  void UpdateGauges() {
    const SteadyTime now = std::chrono::steady_clock::now();
    SetCatalogGauges(metrics, catalog, now);
    SetClusterGauges(metrics, cluster, directory, now);
    if (log) {
      control::SetLogGauges(metrics, log->Status(), settings.node);
    }
    telemetry::SetGauge(metrics, telemetry::Gauge::kQueriesInFlight,
                        static_cast<double>(gate.InFlight()));
    const bool ready = gate.IsReady() && peer_loop->HasCatalog();
    telemetry::SetGauge(metrics, telemetry::Gauge::kReady, ready ? 1 : 0);
    std::lock_guard lock(stats_mutex);
    const peer::PeerStats stats = socket.Stats();
    monitoring::CountPeerFrames(metrics, reported_stats, stats);
    reported_stats = stats;
    if (server) {
      telemetry::IncrementTo(metrics, telemetry::Counter::kBadRequests,
                             counted_malformed, server->MalformedRequests());
    }
  }

  void RegisterHandlers() {
    using peer::FrameKind;
    const auto to_directory = [this](const peer::PeerFrame& it) {
      directory.OnFrame(it, std::chrono::steady_clock::now());
    };
    const auto to_loop = [this](const peer::PeerFrame& it) {
      peer_loop->OnFrame(it);
    };
    for (FrameKind kind :
         {FrameKind::kDirectoryDelta, FrameKind::kDirectoryDigest,
          FrameKind::kDirectoryPull}) {
      dispatcher.Register(kind, to_directory);
    }
    for (FrameKind kind : {FrameKind::kPeerHeartbeat, FrameKind::kCatalogPoll,
                           FrameKind::kCatalogPollReply}) {
      dispatcher.Register(kind, to_loop);
    }
    if (log) {
      dispatcher.Register(
          FrameKind::kConsensus,
          [this](const peer::PeerFrame& it) { log->OnMessage(it.body); });
    }
    dispatcher.Register(FrameKind::kCrashSuspicion,
                        [this](const auto& it) { OnCrashSuspicion(it); });
    dispatcher.Register(
        FrameKind::kForwardRequest, [this](const peer::PeerFrame& it) {
          control->OnRequestFrame({it.sender, it.incarnation}, it.body);
        });
    dispatcher.Register(
        FrameKind::kForwardReply,
        [this](const peer::PeerFrame& it) { control->OnReplyFrame(it.body); });
  }

  void Drain() {
    gate.FailReady();
    gate.WaitBeforeRefusing(settings.drain_wait);
    gate.RefuseNew();
    gate.WaitUntilIdle();
    if (log) {
      log->TransferLeadership();
    }
    peer_loop->AnnounceLeaving();
  }

  const settings::Settings settings;
  const uint64_t incarnation;
  telemetry::Metrics metrics;
  DrainGate gate;
  ServiceViews views;
  CrashGuard crash_guard;
  QueryEngine engine;
  ClusterView cluster;
  FrameDispatcher dispatcher;
  peer::PeerSocket socket;
  DirectoryReplica directory;
  CatalogStore catalog;
  // Accessed only on the replicated log thread.
  control::ControlState control_state;
  // Empty on a node without a data folder.
  std::optional<control::ReplicatedLog> log;
  std::optional<control::ControlClient> control;
  std::optional<PeerLoop> peer_loop;
  std::optional<AtMostOnceExecutor> at_most_once;
  std::optional<OperatorApi> operator_api;
  std::optional<HttpApi> http_api;
  std::optional<http::HttpServer> server;
  std::mutex stats_mutex;
  // Guarded by `stats_mutex`. The socket statistics already added to the peer
  // frame counters.
  peer::PeerStats reported_stats;
  uint64_t counted_malformed = 0;
};

Node::Node(const settings::Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Node::~Node() = default;

void Node::Drain() {
  impl_->Drain();
}

void Node::SetPeerBlocked(const NodeId& peer,
                          peer::Direction direction,
                          bool blocked) {
  impl_->socket.SetBlocked(peer, direction, blocked);
}

}  // namespace gooseberryrock::node
