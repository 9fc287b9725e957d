// An HTTP server for callers.

#include "gooseberryrock/transport/web_server.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_account.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/transport_error.h"
#include "socket_options.h"
#include "web_session.h"

namespace gooseberryrock::transport {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

// Interval for checking connection timeouts.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Maximum number of connections waiting to be accepted.
constexpr int kBacklog = 1024;
// Delay after a failed accept, usually caused by a lack of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

struct ThreadState {
  IoThread* thread = nullptr;
  size_t index = 0;
  // Null if the memory for responses is not limited.
  ReplyMemory* memory = nullptr;
  // Shared with the sessions, which may outlive the server.
  std::shared_ptr<CallerAccount> account = std::make_shared<CallerAccount>();
  // Used on the thread only.
  WebSessionList sessions;

  template <typename Function>
  void ForEach(const Function& function) {
    for (auto it = sessions.begin(); it != sessions.end();) {
      if (auto session = it->lock()) {
        function(*session);
        ++it;
      } else {
        it = sessions.erase(it);
      }
    }
  }
};

}  // namespace

struct WebServer::Impl {
  Impl(const std::vector<IoThread*>& threads,
       const Endpoint& endpoint,
       const WebLimits& limits,
       Handler handler,
       const std::vector<ReplyMemory*>& memory)
      : shared(std::make_shared<WebServerShared>()),
        acceptor(threads.front()->context()),
        accept_retry_timer(threads.front()->context()) {
    shared->handler = std::move(handler);
    shared->limits = limits;
    shared->threads = threads.size();
    for (IoThread* it : threads) {
      states.push_back(std::make_shared<ThreadState>());
      states.back()->thread = it;
      states.back()->index = states.size() - 1;
      states.back()->memory =
          memory.empty() ? nullptr : memory[states.size() - 1];
    }
    Listen(endpoint);
    for (const auto& state : states) {
      state->thread->Every(kTimeoutCheckInterval, [state] {
        const SteadyTime now = BootTime();
        state->ForEach([now](WebSession& it) { it.CheckDeadline(now); });
      });
    }
    states.front()->thread->Post([this] { Accept(); });
  }

  void Listen(const Endpoint& endpoint) {
    ErrorCode ec;
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(endpoint.host, ec), endpoint.port);
    if (!ec) {
      acceptor.open(address.protocol(), ec);
    }
    if (!ec) {
      acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
      acceptor.bind(address, ec);
    }
    if (!ec) {
      acceptor.listen(kBacklog, ec);
    }
    if (ec) {
      throw TransportError("cannot listen on " + endpoint.host + ":" +
                           std::to_string(endpoint.port) + ": " + ec.message());
    }
    port = acceptor.local_endpoint().port();
  }

  void Accept() {
    auto state = states[next++ % states.size()];
    acceptor.async_accept(
        state->thread->context(),
        [this, state](const ErrorCode& ec, asio::ip::tcp::socket socket) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (ec) {
            accept_retry_timer.expires_after(kAcceptRetryDelay);
            accept_retry_timer.async_wait([this](const ErrorCode& result) {
              if (!result) {
                Accept();
              }
            });
            return;
          }
          AddSession(state, std::move(socket));
          Accept();
        });
  }

  void AddSession(const std::shared_ptr<ThreadState>& state,
                  asio::ip::tcp::socket socket) {
    SetSocketOptions(socket);
    auto session = std::make_shared<WebSession>(
        std::move(socket), state->index, state->memory, state->account, shared);
    auto start = [state, session] {
      state->sessions.push_back(session);
      session->Start();
    };
    if (state == states.front()) {
      start();
    } else {
      state->thread->Post(start);
    }
  }

  const std::shared_ptr<WebServerShared> shared;
  std::vector<std::shared_ptr<ThreadState>> states;
  uint16_t port = 0;
  // Used on the first thread only.
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  size_t next = 0;
};

WebServer::WebServer(const std::vector<IoThread*>& threads,
                     const Endpoint& endpoint,
                     const WebLimits& limits,
                     Handler handler,
                     const std::vector<ReplyMemory*>& memory)
    : impl_(std::make_unique<Impl>(threads,
                                   endpoint,
                                   limits,
                                   std::move(handler),
                                   memory)) {}

WebServer::~WebServer() = default;

uint16_t WebServer::port() const {
  return impl_->port;
}

void WebServer::SetLimits(const WebLimits& limits) {
  std::lock_guard lock(impl_->shared->mutex);
  impl_->shared->limits = limits;
}

void WebServer::StartDraining() {
  impl_->shared->draining = true;
}

void WebServer::StopAccepting() {
  impl_->states.front()->thread->Post([this] {
    ErrorCode ignored;
    impl_->acceptor.close(ignored);
    impl_->accept_retry_timer.cancel();
  });
  for (const auto& state : impl_->states) {
    state->thread->Post(
        [state] { state->ForEach([](WebSession& it) { it.CloseIfIdle(); }); });
  }
}

size_t WebServer::OpenConnections() const {
  return impl_->shared->open_connections;
}

uint64_t WebServer::MalformedRequests() const {
  return impl_->shared->malformed_requests;
}

uint64_t WebServer::ConnectionsRefused() const {
  return impl_->shared->refused;
}

uint64_t WebServer::ConnectionsEvicted() const {
  return impl_->shared->evicted;
}

}  // namespace gooseberryrock::transport
