// The connections of one I/O shard to its backend servers.

#include "gooseberryrock/http/backend_channel.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/backend_connection.h"
#include "gooseberryrock/query/connection_health.h"
#include "gooseberryrock/transport/reply_memory.h"

namespace gooseberryrock::http {

namespace asio = boost::asio;

namespace {

// Time to wait for the reply to an abandoned call before the connection is
// closed.
constexpr Duration kAbandonedReplyTimeout = std::chrono::seconds(1);
// Maximum wait for events when no call has an earlier deadline.
constexpr Duration kMaxWait = std::chrono::milliseconds(500);
// Memory that all replies that are being read may take.
constexpr size_t kReplyMemoryBytes = size_t{32} << 20U;

struct SetEndpointEvent {
  BackendServerId server;
  // Empty to remove the server.
  std::optional<BackendEndpoint> endpoint;
};

struct CancelEvent {
  BackendServerId server;
  uint64_t attempt = 0;
  std::string body;
};

// Calls with this attempt id report no result.
constexpr uint64_t kNoAttempt = 0;
// A cancellation that reaches the server later than this has no effect.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(200);

struct RejectQueuedEvent {
  BackendServerId server;
};

using Event =
    std::variant<BackendCall, CancelEvent, SetEndpointEvent, RejectQueuedEvent>;

constexpr query::ConnectionPolicy kConnectionPolicy;
// No connection is preconnected for this long after one ended without a reply;
// otherwise a server that closes every connection would receive a continuous
// series of them.
constexpr Duration kPreconnectBackoff = std::chrono::seconds(1);
// Body of the request that preconnects, which also shows that the server
// replies. No attempt has the id 0.
constexpr const char* kPreconnectBody = R"({"attemptId":"0"})";

struct Server {
  BackendEndpoint endpoint;
  std::vector<std::unique_ptr<BackendConnection>> connections;
  std::deque<BackendCall> queued;
  // Limit on calls in flight, taken from the latest call.
  uint32_t window = 1;
  query::ConnectionHealth health;
  // No connection is preconnected before this time.
  SteadyTime preconnect_after;
};

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct BackendChannel::Impl {
  explicit Impl(ResultHandler handler)
      : on_result(std::move(handler)), work(asio::make_work_guard(context)) {
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    Wake();
    thread.join();
  }

  // Ends the wait of the channel thread. Thread-safe.
  void Wake() {
    asio::post(context, [] {});
  }

  void Post(Event event) {
    {
      std::lock_guard lock(mutex);
      events.push_back(std::move(event));
    }
    Wake();
  }

  void Run() {
    while (true) {
      std::vector<Event> batch;
      {
        std::lock_guard lock(mutex);
        if (stopping) {
          break;
        }
        batch.swap(events);
      }
      for (Event& event : batch) {
        std::visit([this](auto& it) { Handle(std::move(it)); }, event);
      }
      const Duration wait = ProcessServers(Now());
      if (context.run_one_for(wait) > 0) {
        context.poll();
      }
    }
    servers.clear();
  }

  void Handle(BackendCall call) {
    auto it = servers.find(call.server);
    if (it == servers.end()) {
      Report(NotSent(call));
      return;
    }
    it->second.window = std::max(call.window, 1U);
    it->second.queued.push_back(std::move(call));
  }

  void Handle(const RejectQueuedEvent& event) {
    auto it = servers.find(event.server);
    if (it != servers.end()) {
      // Cancellations stay queued because they are not new work.
      std::erase_if(it->second.queued, [this](const BackendCall& call) {
        Report(NotSent(call));
        return call.attempt != kNoAttempt;
      });
    }
  }

  void Handle(CancelEvent cancel) {
    auto it = servers.find(cancel.server);
    if (it == servers.end()) {
      return;
    }
    Server& server = it->second;
    std::erase_if(server.queued, [&](const BackendCall& call) {
      return call.attempt == cancel.attempt;
    });
    for (auto& connection : server.connections) {
      if (connection->busy() && !connection->finished() &&
          connection->call().attempt == cancel.attempt) {
        connection->Abandon();
        server.queued.push_back({kNoAttempt, cancel.server, "/v1/cancel",
                                 std::move(cancel.body),
                                 Now() + kCancelTimeout});
        return;
      }
    }
  }

  void Handle(SetEndpointEvent event) {
    auto it = servers.find(event.server);
    if (!event.endpoint) {
      if (it != servers.end()) {
        AbortAll(it->second);
        servers.erase(it);
      }
      return;
    }
    Server& server = servers[event.server];
    const bool address_changed = server.endpoint.host != event.endpoint->host ||
                                 server.endpoint.port != event.endpoint->port;
    if (address_changed) {
      AbortAll(server);
    }
    server.endpoint = *event.endpoint;
  }

  void AbortAll(Server& server) {
    for (auto& connection : server.connections) {
      if (connection->busy()) {
        Finish(*connection, connection->Abort(Now()));
      }
    }
    server.connections.clear();
    for (const BackendCall& call : server.queued) {
      Report(NotSent(call));
    }
    server.queued.clear();
  }

  static BackendResult NotSent(const BackendCall& call) {
    BackendResult result;
    result.attempt = call.attempt;
    result.server = call.server;
    result.service = call.service;
    result.fingerprint = call.fingerprint;
    result.rank = call.rank;
    return result;
  }

  void Finish(const BackendConnection& connection, BackendResult result) {
    if (!connection.abandoned()) {
      Report(std::move(result));
    }
  }

  void Report(BackendResult result) {
    if (result.attempt != kNoAttempt) {
      on_result(std::move(result));
    }
  }

  // Collects finished calls, closes connections whose call has expired and
  // sends queued calls. Returns the maximum wait for events.
  Duration ProcessServers(SteadyTime now) {
    SteadyTime next = now + kMaxWait;
    for (auto& [id, server] : servers) {
      CollectFinished(server, now);
      AbortExpired(server, now);
      ReplaceSilentConnections(server, now);
      SendQueued(server, now);
      Preconnect(id, server, now);
      next = std::min(next, NextDeadline(server, now));
    }
    return std::max(next - Now(), Duration::zero());
  }

  void CollectFinished(Server& server, SteadyTime now) {
    for (auto& connection : server.connections) {
      if (connection->busy() && connection->finished()) {
        BackendResult result = connection->TakeResult(now);
        if (result.kind == BackendResultKind::kReply) {
          query::OnConnectionAnswered(server.health);
        } else {
          server.preconnect_after = now + kPreconnectBackoff;
        }
        Finish(*connection, std::move(result));
      }
    }
    std::erase_if(server.connections, [](const auto& connection) {
      return !connection->busy() && !connection->reusable();
    });
  }

  static SteadyTime ExpiryTime(const BackendConnection& connection) {
    const SteadyTime deadline = connection.call().deadline;
    return connection.abandoned() ? deadline + kAbandonedReplyTimeout
                                  : deadline;
  }

  void AbortExpired(Server& server, SteadyTime now) {
    for (auto& connection : server.connections) {
      if (connection->busy() && now >= ExpiryTime(*connection)) {
        Finish(*connection, connection->Abort(now));
      }
    }
    std::erase_if(server.connections, [](const auto& connection) {
      return !connection->busy() && !connection->reusable();
    });
    std::erase_if(server.queued, [&](const BackendCall& call) {
      if (now < call.deadline) {
        return false;
      }
      Report(NotSent(call));
      return true;
    });
  }

  void ReplaceSilentConnections(Server& server, SteadyTime now) {
    bool replaced = false;
    for (auto& connection : server.connections) {
      const auto silent_at = connection->silent_at();
      if (!connection->busy() || !silent_at || now < *silent_at) {
        continue;
      }
      if (!query::OnConnectionSilent(server.health, kConnectionPolicy,
                                     connection->answered_before(),
                                     server.endpoint.max_connections, now)) {
        connection->set_silent_at(now + kConnectionPolicy.replacement_period);
        continue;
      }
      replaced = true;
      if (!connection->abandoned()) {
        server.queued.push_back({kNoAttempt, connection->call().server,
                                 "/v1/cancel", connection->call().cancel_body,
                                 now + kCancelTimeout});
      }
      BackendResult result = connection->Abort(now);
      result.kind = BackendResultKind::kSilent;
      Finish(*connection, std::move(result));
    }
    if (replaced) {
      // The idle connections are as old and may be dead as well.
      std::erase_if(server.connections,
                    [](const auto& it) { return !it->busy(); });
    }
  }

  void Preconnect(const BackendServerId& id, Server& server, SteadyTime now) {
    if (now < server.preconnect_after) {
      return;
    }
    const uint32_t busy = CountBusy(server);
    const auto all = static_cast<uint32_t>(server.connections.size());
    if (busy == 0 && all == 0) {
      return;
    }
    const uint32_t n = query::ConnectionsToOpen(
        busy, all - busy, server.endpoint.max_connections);
    for (uint32_t i = 0; i < n && server.queued.empty(); ++i) {
      server.connections.push_back(std::make_unique<BackendConnection>(
          context, memory, server.endpoint.host, server.endpoint.port));
      server.connections.back()->Begin(
          {kNoAttempt, id, "/v1/cancel", kPreconnectBody, now + kCancelTimeout},
          now);
    }
  }

  static uint32_t CountBusy(const Server& server) {
    return static_cast<uint32_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& it) { return it->busy(); }));
  }

  // Number of attempts in flight, without cancellations and preconnects.
  static uint32_t CountInFlight(const Server& server) {
    return static_cast<uint32_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& it) {
                        return it->busy() && it->call().attempt != kNoAttempt;
                      }));
  }

  void SendQueued(Server& server, SteadyTime now) {
    while (!server.queued.empty()) {
      if (server.queued.front().attempt != kNoAttempt &&
          CountInFlight(server) >= server.window) {
        return;
      }
      BackendConnection* connection =
          FreeConnection(server, server.queued.front().at_most_once);
      if (connection == nullptr) {
        return;
      }
      BackendCall call = std::move(server.queued.front());
      server.queued.pop_front();
      connection->Begin(std::move(call), now);
    }
  }

  // Returns an idle connection, or a new one if `fresh` is set or none is idle.
  // Null at the connection limit.
  BackendConnection* FreeConnection(Server& server, bool fresh) {
    auto idle =
        std::find_if(server.connections.begin(), server.connections.end(),
                     [](const auto& it) { return !it->busy(); });
    if (!fresh && idle != server.connections.end()) {
      return idle->get();
    }
    if (server.connections.size() >= server.endpoint.max_connections) {
      if (idle == server.connections.end()) {
        return nullptr;
      }
      server.connections.erase(idle);
    }
    server.connections.push_back(std::make_unique<BackendConnection>(
        context, memory, server.endpoint.host, server.endpoint.port));
    return server.connections.back().get();
  }

  static SteadyTime NextDeadline(const Server& server, SteadyTime now) {
    SteadyTime next = SteadyTime::max();
    for (const auto& connection : server.connections) {
      if (connection->busy()) {
        next = std::min(next,
                        connection->finished() ? now : ExpiryTime(*connection));
        if (connection->silent_at()) {
          next = std::min(next, *connection->silent_at());
        }
      }
    }
    for (const BackendCall& call : server.queued) {
      next = std::min(next, call.deadline);
    }
    return next;
  }

  const ResultHandler on_result;
  // Accessed only on the channel thread, like `servers`.
  transport::ReplyMemory memory{kReplyMemoryBytes};
  // Run by the channel thread.
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::map<BackendServerId, Server> servers;
  std::mutex mutex;
  // Guarded by `mutex`.
  std::vector<Event> events;
  bool stopping = false;
  std::thread thread;
};

BackendChannel::BackendChannel(ResultHandler on_result)
    : impl_(std::make_unique<Impl>(std::move(on_result))) {}

BackendChannel::~BackendChannel() = default;

void BackendChannel::SetEndpoint(const BackendServerId& server,
                                 const BackendEndpoint& endpoint) {
  impl_->Post(SetEndpointEvent{server, endpoint});
}

void BackendChannel::RemoveEndpoint(const BackendServerId& server) {
  impl_->Post(SetEndpointEvent{server, std::nullopt});
}

void BackendChannel::RejectQueued(const BackendServerId& server) {
  impl_->Post(RejectQueuedEvent{server});
}

void BackendChannel::Send(BackendCall call) {
  impl_->Post(std::move(call));
}

void BackendChannel::Cancel(const BackendServerId& server,
                            uint64_t attempt,
                            std::string cancel_body) {
  impl_->Post(CancelEvent{server, attempt, std::move(cancel_body)});
}

}  // namespace gooseberryrock::http
