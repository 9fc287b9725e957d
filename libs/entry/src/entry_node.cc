// A node that serves callers.

#include "gooseberryrock/entry/entry_node.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

#include "control_link.h"
#include "entry_shard.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/entry/dialect.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/web_server.h"

namespace gooseberryrock::entry {

namespace {

// The balancer asks each second and acts on two refusals.
constexpr Duration kBalancerNotice = std::chrono::milliseconds(3200);
// Kept free at the end of the stop time for the end of the process.
constexpr Duration kExitMargin = std::chrono::milliseconds(500);
constexpr Duration kDrainCheck = std::chrono::milliseconds(20);
// Added to the idle time that callers are promised, for the way of a request.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// A body of the largest size arrives within this time on a slow link.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);

transport::WebLimits LimitsOf(const routes::CallerLimits& limits) {
  transport::WebLimits web;
  web.header_bytes = limits.header_bytes;
  web.body_bytes = limits.body_bytes;
  web.header_timeout = limits.header_timeout;
  web.body_timeout = kBodyTimeout;
  web.idle_timeout = limits.idle_timeout + kIdleMargin;
  return web;
}

}  // namespace

struct EntryNode::Impl {
  Impl(const EntrySettings& node_settings, const Dialect& node_dialect)
      : settings(node_settings), dialect(node_dialect) {
    const unsigned n = std::max(1U, settings.io_shards);
    relay::RelayPolicy policy;
    policy.extra_attempts = settings.extra_attempts;
    std::vector<transport::IoThread*> all;
    for (unsigned i = 0; i < n; ++i) {
      threads.push_back(std::make_unique<transport::IoThread>());
      all.push_back(threads.back().get());
      shards.push_back(
          std::make_unique<EntryShard>(*threads.back(), dialect, policy, n));
      shards.back()->PutPlan({{}, {settings.failure_domain, 0}});
    }
    callers.emplace(
        all, settings.caller_endpoint, transport::WebLimits(),
        [this](size_t thread, std::shared_ptr<transport::Exchange> it) {
          shards[thread]->Handle(std::move(it));
        });
    control.emplace(settings, dialect, Events());
    ready_server.emplace(
        std::vector<transport::IoThread*>{all.front()}, settings.ready_endpoint,
        transport::WebLimits(),
        [this](size_t /*thread*/,
               const std::shared_ptr<transport::Exchange>& it) {
          AnswerReadyCheck(*it);
        });
  }

  ~Impl() {
    control.reset();
    for (auto& it : threads) {
      it->Stop();
    }
  }

  ControlEvents Events() {
    ControlEvents events;
    events.on_routes =
        [this](const std::shared_ptr<const routes::RouteTable>& table) {
          for (auto& it : shards) {
            it->PutRoutes(table);
          }
          callers->SetLimits(LimitsOf(table->set.limits));
        };
    events.on_servers = [this](const std::vector<ServerChange>& changes) {
      for (auto& it : shards) {
        it->PutServers(changes);
      }
    };
    events.on_plan = [this](const ConnectionPlan& plan) {
      for (auto& it : shards) {
        it->PutPlan(plan);
      }
    };
    return events;
  }

  void AnswerReadyCheck(transport::Exchange& exchange) {
    namespace http = boost::beast::http;
    if (!dialect.is_ready_check(exchange.request())) {
      exchange.Respond(transport::Response(http::status::not_found, 11));
      return;
    }
    const bool ready = !draining && control->IsReady();
    exchange.Respond(transport::Response(
        ready ? http::status::ok : http::status::service_unavailable, 11));
  }

  void WaitFor(Duration duration) {
    std::unique_lock lock(wait_mutex);
    wait.wait_for(lock, duration, [] { return false; });
  }

  const EntrySettings settings;
  const Dialect& dialect;
  std::atomic<bool> draining = false;
  std::vector<std::unique_ptr<transport::IoThread>> threads;
  std::vector<std::unique_ptr<EntryShard>> shards;
  std::optional<ControlLink> control;
  std::optional<transport::WebServer> ready_server;
  std::optional<transport::WebServer> callers;
  std::mutex wait_mutex;
  std::condition_variable wait;
};

EntryNode::EntryNode(const EntrySettings& settings, const Dialect& dialect)
    : impl_(std::make_unique<Impl>(settings, dialect)) {}

EntryNode::~EntryNode() = default;

void EntryNode::AddControlVms(const std::vector<NodeId>& nodes) {
  impl_->control->AddControlVms(nodes);
}

void EntryNode::Drain() {
  const SteadyTime end = BootTime() + impl_->settings.stop_time - kExitMargin;
  impl_->draining = true;
  impl_->callers->StartDraining();
  impl_->WaitFor(std::min(kBalancerNotice, impl_->settings.stop_time / 2));
  impl_->callers->StopAccepting();
  while (impl_->callers->OpenConnections() > 0 && BootTime() < end) {
    impl_->WaitFor(kDrainCheck);
  }
  telemetry::LogEvent(
      telemetry::LogLevel::kInfo, "entry_drained",
      {{"node", impl_->settings.node.value},
       {"connections_cut", std::to_string(impl_->callers->OpenConnections())}});
}

}  // namespace gooseberryrock::entry
