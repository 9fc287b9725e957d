// The connections of one I/O shard to its backend servers.

#include "gooseberryrock/http/backend_channel.h"

#include <cxxtools/selector.h>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/backend_connection.h"
#include "gooseberryrock/query/connection_health.h"

namespace gooseberryrock::http {

namespace {

// How long a connection waits for the reply of an abandoned call before it is
// closed.
constexpr Duration kAbandonedReplyWait = std::chrono::seconds(1);
// Longest wait of the selector when no call has an earlier deadline.
constexpr Duration kMaxWait = std::chrono::milliseconds(500);

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
// A cancellation that has not reached the server by then is of no use.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(200);

struct DropWaitingEvent {
  BackendServerId server;
};

using Event =
    std::variant<BackendCall, CancelEvent, SetEndpointEvent, DropWaitingEvent>;

constexpr query::ConnectionPolicy kConnectionPolicy;
// Opens a connection ahead of its first call: cxxtools opens one without
// blocking only together with a request. No attempt has the id 0.
// After a connection that ended without a reply none is opened ahead for this
// long: a server that closes each connection would get one after the other.
constexpr Duration kOpenAheadPause = std::chrono::seconds(1);
constexpr const char* kWarmUpBody = R"({"attemptId":"0"})";

struct Server {
  BackendEndpoint endpoint;
  std::vector<std::unique_ptr<BackendConnection>> connections;
  std::deque<BackendCall> waiting;
  // Calls that may be in flight, from the latest call.
  uint32_t window = 1;
  query::ConnectionHealth health;
  // No connection is opened ahead before.
  SteadyTime open_ahead_at;
};

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct BackendChannel::Impl {
  explicit Impl(ResultHandler handler) : on_result(std::move(handler)) {
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    selector.wake();
    thread.join();
  }

  void Post(Event event) {
    {
      std::lock_guard lock(mutex);
      events.push_back(std::move(event));
    }
    selector.wake();
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
      const Duration wait = Advance(Now());
      selector.wait(cxxtools::Milliseconds(
          std::chrono::duration<double, std::milli>(wait).count()));
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
    it->second.waiting.push_back(std::move(call));
  }

  void Handle(const DropWaitingEvent& event) {
    auto it = servers.find(event.server);
    if (it != servers.end()) {
      // Cancellations stay: they are no new work.
      std::erase_if(it->second.waiting, [this](const BackendCall& call) {
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
    std::erase_if(server.waiting, [&](const BackendCall& call) {
      return call.attempt == cancel.attempt;
    });
    for (auto& connection : server.connections) {
      if (connection->busy() && !connection->finished() &&
          connection->call().attempt == cancel.attempt) {
        connection->Abandon();
        server.waiting.push_back({kNoAttempt, cancel.server, "/v1/cancel",
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
        GiveUpAll(it->second);
        servers.erase(it);
      }
      return;
    }
    Server& server = servers[event.server];
    const bool moved = server.endpoint.host != event.endpoint->host ||
                       server.endpoint.port != event.endpoint->port;
    if (moved) {
      GiveUpAll(server);
    }
    server.endpoint = *event.endpoint;
  }

  void GiveUpAll(Server& server) {
    for (auto& connection : server.connections) {
      if (connection->busy()) {
        Finish(*connection, connection->GiveUp(Now()));
      }
    }
    server.connections.clear();
    for (const BackendCall& call : server.waiting) {
      Report(NotSent(call));
    }
    server.waiting.clear();
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

  // Collects finished calls, closes connections past their time, sends waiting
  // calls. Returns how long the selector may wait.
  Duration Advance(SteadyTime now) {
    SteadyTime next = now + kMaxWait;
    for (auto& [id, server] : servers) {
      CollectFinished(server, now);
      DropLate(server, now);
      ReplaceSilent(server, now);
      SendWaiting(server, now);
      OpenAhead(id, server, now);
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
          server.open_ahead_at = now + kOpenAheadPause;
        }
        Finish(*connection, std::move(result));
      }
    }
    std::erase_if(server.connections, [](const auto& connection) {
      return !connection->busy() && !connection->reusable();
    });
  }

  static SteadyTime GiveUpTime(const BackendConnection& connection) {
    const SteadyTime deadline = connection.call().deadline;
    return connection.abandoned() ? deadline + kAbandonedReplyWait : deadline;
  }

  void DropLate(Server& server, SteadyTime now) {
    for (auto& connection : server.connections) {
      if (connection->busy() && now >= GiveUpTime(*connection)) {
        Finish(*connection, connection->GiveUp(now));
      }
    }
    std::erase_if(server.connections, [](const auto& connection) {
      return !connection->busy() && !connection->reusable();
    });
    std::erase_if(server.waiting, [&](const BackendCall& call) {
      if (now < call.deadline) {
        return false;
      }
      Report(NotSent(call));
      return true;
    });
  }

  void ReplaceSilent(Server& server, SteadyTime now) {
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
        server.waiting.push_back({kNoAttempt, connection->call().server,
                                  "/v1/cancel", connection->call().cancel_body,
                                  now + kCancelTimeout});
      }
      BackendResult result = connection->GiveUp(now);
      result.kind = BackendResultKind::kSilent;
      Finish(*connection, std::move(result));
    }
    if (replaced) {
      // The idle connections are as old and may be as dead.
      std::erase_if(server.connections,
                    [](const auto& it) { return !it->busy(); });
    }
  }

  void OpenAhead(const BackendServerId& id, Server& server, SteadyTime now) {
    if (now < server.open_ahead_at) {
      return;
    }
    const uint32_t busy = CountBusy(server);
    const auto all = static_cast<uint32_t>(server.connections.size());
    if (busy == 0 && all == 0) {
      return;
    }
    const uint32_t n = query::ConnectionsToOpen(
        busy, all - busy, server.endpoint.max_connections);
    for (uint32_t i = 0; i < n && server.waiting.empty(); ++i) {
      server.connections.push_back(std::make_unique<BackendConnection>(
          selector, server.endpoint.host, server.endpoint.port));
      server.connections.back()->Begin(
          {kNoAttempt, id, "/v1/cancel", kWarmUpBody, now + kCancelTimeout},
          now);
    }
  }

  static uint32_t CountBusy(const Server& server) {
    return static_cast<uint32_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& it) { return it->busy(); }));
  }

  // Calls in flight that an attempt waits for.
  static uint32_t CountInFlight(const Server& server) {
    return static_cast<uint32_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& it) {
                        return it->busy() && it->call().attempt != kNoAttempt;
                      }));
  }

  void SendWaiting(Server& server, SteadyTime now) {
    while (!server.waiting.empty()) {
      if (server.waiting.front().attempt != kNoAttempt &&
          CountInFlight(server) >= server.window) {
        return;
      }
      BackendConnection* connection =
          FreeConnection(server, server.waiting.front().at_most_once);
      if (connection == nullptr) {
        return;
      }
      BackendCall call = std::move(server.waiting.front());
      server.waiting.pop_front();
      connection->Begin(std::move(call), now);
    }
  }

  // An idle connection, or a new one when `fresh` or none is idle. Null at the
  // connection limit.
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
        selector, server.endpoint.host, server.endpoint.port));
    return server.connections.back().get();
  }

  static SteadyTime NextDeadline(const Server& server, SteadyTime now) {
    SteadyTime next = SteadyTime::max();
    for (const auto& connection : server.connections) {
      if (connection->busy()) {
        next = std::min(next,
                        connection->finished() ? now : GiveUpTime(*connection));
        if (connection->silent_at()) {
          next = std::min(next, *connection->silent_at());
        }
      }
    }
    for (const BackendCall& call : server.waiting) {
      next = std::min(next, call.deadline);
    }
    return next;
  }

  const ResultHandler on_result;
  // Used by the channel's thread only, except wake().
  cxxtools::Selector selector;
  // Used by the channel's thread only.
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

void BackendChannel::DropWaiting(const BackendServerId& server) {
  impl_->Post(DropWaitingEvent{server});
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
