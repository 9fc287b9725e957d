// A stateless node that serves callers.

#include "gooseberryrock/entry/entry_node.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include "control_poller.h"
#include "entry_shard.h"
#include "gooseberryrock/allotments/shared_node_allotments.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/claims/shared_crash_history.h"
#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/monitoring/metrics_server.h"
#include "gooseberryrock/monitoring/peer_counters.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/reply_memory.h"
#include "gooseberryrock/transport/web_server.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Gauge;

// Time for the load balancer to take the node out of service: it checks each
// second and reacts to two failed checks.
constexpr Duration kBalancerDrainDelay = std::chrono::milliseconds(3200);
// Reserved at the end of the stop time for the process to exit.
constexpr Duration kExitMargin = std::chrono::milliseconds(500);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// Added to the callers' idle timeout to cover requests in transit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// Enough for a body of the maximum size on a slow connection.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);
// Nodes add three fields of less than 100 bytes each to a request that they
// pass on, and keep a connection to each gathering node that they use.
constexpr size_t kAddedHeaderBytes = 512;
constexpr Duration kGatherIdleTimeout = std::chrono::seconds(120);
// A gathering node gets requests of all nodes, but reads each at once.
constexpr size_t kGatherMemoryDivisor = 2;
// Time before the end of the drain by which requests are answered, so that the
// answers still reach their callers.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(200);

transport::WebLimits ToWebLimits(const routes::CallerLimits& limits,
                                 const EntrySettings& settings) {
  transport::WebLimits web;
  web.held_bytes = settings.caller_memory_bytes;
  web.connections = transport::DeriveConnectionLimits(
      transport::DescriptorLimit(), settings.caller_connections);
  web.header_bytes = limits.header_bytes;
  web.body_bytes = limits.body_bytes;
  web.header_timeout = limits.header_timeout;
  web.body_timeout = kBodyTimeout;
  web.idle_timeout = limits.idle_timeout + kIdleMargin;
  return web;
}

// Requests of callers with the fields that nodes add.
transport::WebLimits ToGatherLimits(const routes::CallerLimits& limits,
                                    const EntrySettings& settings) {
  transport::WebLimits web = ToWebLimits(limits, settings);
  web.held_bytes /= kGatherMemoryDivisor;
  // Only entry nodes connect, whose number the deployment bounds.
  web.connections = {};
  // A node passes on what it has read whole.
  web.min_rate.bytes_per_second = 0;
  web.header_bytes += kAddedHeaderBytes;
  web.idle_timeout = kGatherIdleTimeout;
  return web;
}

// Health checks have no body.
transport::WebLimits ReadyLimits() {
  transport::WebLimits limits;
  limits.body_bytes = size_t{4} << 10U;
  limits.held_bytes = size_t{1} << 20U;
  limits.connections = transport::kFewConnections;
  return limits;
}

}  // namespace

struct EntryNode::Impl {
  Impl(const EntrySettings& node_settings, const EntryCodec& node_codec)
      : settings(node_settings),
        codec(node_codec),
        allotments(settings.allotments, std::random_device{}()) {
    const unsigned n = std::max(1U, settings.io_shards);
    relay::RelayPolicy policy;
    policy.extra_attempts = settings.extra_attempts;
    policy.use_stated_slowness = settings.use_stated_slowness;
    policy.refuse_unresponsive = settings.refuse_unresponsive;
    std::vector<transport::IoThread*> all;
    std::vector<transport::ReplyMemory*> memory;
    for (unsigned i = 0; i < n; ++i) {
      reply_memory.push_back(std::make_unique<transport::ReplyMemory>(
          settings.reply_memory_bytes / n));
      memory.push_back(reply_memory.back().get());
      threads.push_back(std::make_unique<transport::IoThread>());
      all.push_back(threads.back().get());
      shards.push_back(std::make_unique<EntryShard>(
          *threads.back(), codec, policy, n,
          GatherOptions{settings.gather_endpoint.port,
                        settings.route_adoption_delay},
          settings.route_confirmation_lifetime,
          EntryShardDependencies{
              [this, i](const ServerNotice& it) { PassOn(it, i); },
              crash_history, allotments, *reply_memory.back(), metrics, i}));
      ConnectionPlan plan;
      plan.place.domain = settings.failure_domain;
      shards.back()->SetConnectionPlan(std::move(plan));
    }
    callers.emplace(
        all, settings.caller_endpoint, ToWebLimits({}, settings),
        [this](size_t thread, std::shared_ptr<transport::Exchange> it) {
          shards[thread]->Handle(std::move(it));
        },
        memory);
    if (settings.gather_endpoint.port != 0) {
      gather_server.emplace(
          all, settings.gather_endpoint, ToGatherLimits({}, settings),
          [this](size_t thread, std::shared_ptr<transport::Exchange> it) {
            shards[thread]->HandleForwarded(std::move(it));
          },
          memory);
    }
    control.emplace(settings, codec, crash_history, allotments, Events());
    ready_server.emplace(
        std::vector<transport::IoThread*>{all.front()}, settings.ready_endpoint,
        ReadyLimits(),
        [this](size_t /*thread*/,
               const std::shared_ptr<transport::Exchange>& it) {
          AnswerReadyCheck(*it);
        });
    if (!settings.metrics_endpoint.host.empty()) {
      metrics_server.emplace(*all.front(), settings.metrics_endpoint, metrics,
                             [this] { UpdateMetrics(); });
    }
  }

  // Called on the first I/O thread.
  void UpdateMetrics() {
    ShardCounts total;
    for (auto& it : shards) {
      const ShardCounts counts = it->Count();
      total.requests_in_flight += counts.requests_in_flight;
      // Every shard knows all servers.
      total.servers_ready = counts.servers_ready;
      // Each shard learns of limits by itself.
      total.servers_limited =
          std::max(total.servers_limited, counts.servers_limited);
      total.servers_resting = counts.servers_resting;
      total.servers_leaving = counts.servers_leaving;
      total.gather_nodes = counts.gather_nodes;
    }
    SetGauge(metrics, Gauge::kGatherNodes,
             static_cast<double>(total.gather_nodes));
    SetGauge(metrics, Gauge::kQueriesInFlight,
             static_cast<double>(total.requests_in_flight));
    SetGauge(metrics, Gauge::kServersReady,
             static_cast<double>(total.servers_ready));
    SetGauge(metrics, Gauge::kServersLimited,
             static_cast<double>(total.servers_limited));
    SetGauge(metrics, Gauge::kServersResting,
             static_cast<double>(total.servers_resting));
    SetGauge(metrics, Gauge::kServersLeaving,
             static_cast<double>(total.servers_leaving));
    const ControlPollerStatus status = control->Status();
    SetGauge(metrics, Gauge::kRoutesVersion,
             static_cast<double>(status.routes_version));
    if (status.replied_at) {
      SetGauge(metrics, Gauge::kControlAnswerAgeSeconds,
               std::chrono::duration<double>(BootTime() - *status.replied_at)
                   .count());
    }
    size_t memory_used = 0;
    uint64_t given_up = 0;
    for (const auto& it : reply_memory) {
      memory_used += it->used();
      given_up += it->given_up();
    }
    SetGauge(metrics, Gauge::kReplyMemoryBytes,
             static_cast<double>(memory_used));
    IncrementTo(metrics, telemetry::Counter::kRepliesGivenUp, counted_given_up,
                given_up);
    SetGauge(metrics, Gauge::kCrashRecords,
             static_cast<double>(crash_history.CountRequests()));
    SetGauge(metrics, Gauge::kReady, IsReady() ? 1 : 0);
    IncrementTo(metrics, telemetry::Counter::kBadRequests, counted_malformed,
                callers->MalformedRequests());
    IncrementTo(metrics, telemetry::Counter::kCallersRefused, counted_refused,
                callers->ConnectionsRefused());
    IncrementTo(metrics, telemetry::Counter::kCallersEvicted, counted_evicted,
                callers->ConnectionsEvicted());
    monitoring::CountPeerFrames(metrics, reported_frames, status.frames);
    reported_frames = status.frames;
  }

  size_t OpenConnections() const {
    return callers->OpenConnections() +
           (gather_server ? gather_server->OpenConnections() : 0);
  }

  bool IsReady() const { return !draining && control->IsReady(); }

  ~Impl() {
    control.reset();
    for (auto& it : threads) {
      it->Stop();
    }
  }

  // Called by the I/O shard `from`, under its lock.
  void PassOn(const ServerNotice& notice, unsigned from) {
    for (unsigned i = 0; i < shards.size(); ++i) {
      if (i != from) {
        shards[i]->OnNotice(notice);
      }
    }
  }

  ControlEvents Events() {
    ControlEvents events;
    events.on_routes =
        [this](const std::shared_ptr<const routes::RouteTable>& table) {
          for (auto& it : shards) {
            it->SetRoutes(table);
          }
          // Metrics are labelled by route instead of service.
          std::vector<ServiceName> labels;
          for (const routes::Route& it : table->set.routes) {
            labels.push_back({it.name});
          }
          telemetry::SetServices(metrics, labels);
          callers->SetLimits(ToWebLimits(table->set.limits, settings));
          if (gather_server) {
            gather_server->SetLimits(
                ToGatherLimits(table->set.limits, settings));
          }
        };
    events.on_servers = [this](const std::vector<ServerChange>& changes) {
      for (auto& it : shards) {
        it->UpdateServers(changes);
      }
    };
    events.on_plan = [this](const ConnectionPlan& plan) {
      SetGauge(metrics, Gauge::kEntryNodes,
               static_cast<double>(directory::CountNodes(plan.reservation)));
      for (auto& it : shards) {
        it->SetConnectionPlan(plan);
      }
    };
    events.on_evacuation = [this](const routes::EvacuatedDomains& evacuated,
                                  bool is_unconfirmed) {
      for (auto& it : shards) {
        it->SetEvacuation(evacuated, is_unconfirmed);
      }
    };
    events.on_contact = [this](bool in_contact) {
      for (auto& it : shards) {
        it->SetContact(in_contact);
      }
    };
    events.on_confirmation = [this](const routes::RouteConfirmation& it) {
      for (auto& shard : shards) {
        shard->SetConfirmation(it);
      }
    };
    return events;
  }

  void AnswerReadyCheck(transport::Exchange& exchange) {
    namespace http = boost::beast::http;
    if (!codec.is_ready_check(exchange.request())) {
      exchange.Respond(transport::Response(http::status::not_found, 11));
      return;
    }
    exchange.Respond(transport::Response(
        IsReady() ? http::status::ok : http::status::service_unavailable, 11));
  }

  void WaitFor(Duration duration) {
    std::unique_lock lock(wait_mutex);
    wait.wait_for(lock, duration, [] { return false; });
  }

  const EntrySettings settings;
  const EntryCodec& codec;
  telemetry::Metrics metrics;
  // Used on the first I/O thread only.
  peer::PeerStats reported_frames;
  uint64_t counted_malformed = 0;
  uint64_t counted_refused = 0;
  uint64_t counted_evicted = 0;
  uint64_t counted_given_up = 0;
  std::atomic<bool> draining = false;
  claims::SharedCrashHistory crash_history;
  allotments::SharedNodeAllotments allotments;
  // One for each thread, whose connections use it until they are destroyed.
  std::vector<std::unique_ptr<transport::ReplyMemory>> reply_memory;
  std::vector<std::unique_ptr<transport::IoThread>> threads;
  std::vector<std::unique_ptr<EntryShard>> shards;
  std::optional<ControlPoller> control;
  std::optional<transport::WebServer> ready_server;
  std::optional<transport::WebServer> callers;
  std::optional<transport::WebServer> gather_server;
  std::optional<monitoring::MetricsServer> metrics_server;
  std::mutex wait_mutex;
  std::condition_variable wait;
};

EntryNode::EntryNode(const EntrySettings& settings, const EntryCodec& codec)
    : impl_(std::make_unique<Impl>(settings, codec)) {}

EntryNode::~EntryNode() = default;

void EntryNode::AddControlVms(const std::vector<NodeId>& nodes) {
  impl_->control->AddControlVms(nodes);
}

void EntryNode::Drain() {
  const SteadyTime end = BootTime() + impl_->settings.stop_time - kExitMargin;
  impl_->draining = true;
  for (auto& it : impl_->shards) {
    it->StartDraining(end - kAnswerMargin);
  }
  impl_->callers->StartDraining();
  if (impl_->gather_server) {
    impl_->gather_server->StartDraining();
  }
  impl_->WaitFor(std::min(kBalancerDrainDelay, impl_->settings.stop_time / 2));
  impl_->callers->StopAccepting();
  if (impl_->gather_server) {
    impl_->gather_server->StopAccepting();
  }
  while (impl_->OpenConnections() > 0 && BootTime() < end) {
    impl_->WaitFor(kDrainPollInterval);
  }
  telemetry::LogEvent(
      telemetry::LogLevel::kInfo, "entry_drained",
      {{"node", impl_->settings.node.value},
       {"connections_cut", std::to_string(impl_->OpenConnections())}});
}

}  // namespace gooseberryrock::entry
