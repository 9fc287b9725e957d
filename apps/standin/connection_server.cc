// HTTP server with one thread for each connection and fault injection.

#include "connection_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <list>
#include <mutex>
#include <thread>
#include <utility>

#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastReply = beast::http::response<beast::http::string_body>;

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(10);

struct Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::atomic<bool> silent = false;
  std::atomic<bool> ended = false;
  std::thread thread;
};

// Returns whether the peer has closed the connection.
bool IsClosedByPeer(Connection& connection) {
  pollfd fd{connection.socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&fd, 1, 0) > 0 &&
         (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

http::HttpRequest FromBeast(BeastRequest& request) {
  http::HttpRequest it;
  it.method = request.method_string().to_string();
  it.path = request.target().to_string();
  for (const auto& field : request) {
    std::string name = field.name_string().to_string();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    it.headers[name] = field.value().to_string();
  }
  it.body = std::move(request.body());
  return it;
}

BeastReply ToBeast(const http::HttpReply& reply, bool keep_alive) {
  BeastReply it;
  it.result(static_cast<unsigned>(reply.status));
  it.set(beast::http::field::content_type, reply.content_type);
  it.body() = reply.body;
  it.keep_alive(keep_alive);
  it.prepare_payload();
  return it;
}

// Sends half of the reply's body. The header announces the complete body, or,
// when `chunked`, the last chunk is missing.
void SendTruncated(tcp::socket& socket,
                   const http::HttpReply& reply,
                   bool chunked) {
  const std::string half = reply.body.substr(0, reply.body.size() / 2);
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  if (chunked) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx", half.size());
    text += "Transfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" +
            half + "\r\n";
  } else {
    text += "Content-Length: " + std::to_string(reply.body.size()) +
            "\r\n\r\n" + half;
  }
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(text), ec);
}

}  // namespace

struct ConnectionServer::Impl {
  Impl(const std::string& host,
       uint16_t port,
       PolicySource policy_source,
       Handler request_handler)
      : policy(std::move(policy_source)),
        handler(std::move(request_handler)),
        acceptor(context) {
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(host), port);
      acceptor.open(endpoint.protocol());
      acceptor.set_option(tcp::acceptor::reuse_address(true));
      acceptor.bind(endpoint);
      acceptor.listen();
    } catch (const boost::system::system_error& e) {
      throw http::HttpError("cannot listen on " + host + ":" +
                            std::to_string(port) + ": " + e.what());
    }
    thread = std::thread([this] { RunAcceptor(); });
  }

  ~Impl() {
    stopping = true;
    // Makes accept() return with an error.
    ::shutdown(acceptor.native_handle(), SHUT_RDWR);
    thread.join();
    for (auto& connection : connections) {
      // Makes a pending read of the next request return. A reply in progress is
      // still sent.
      ::shutdown(connection.socket.native_handle(), SHUT_RD);
    }
    for (auto& connection : connections) {
      connection.thread.join();
    }
  }

  void RunAcceptor() {
    while (!stopping) {
      tcp::socket socket(context);
      boost::system::error_code ec;
      acceptor.accept(socket, ec);
      if (!ec) {
        Accept(std::move(socket));
      } else if (!stopping) {
        // accept() would fail again at once when the process is out of file
        // descriptors.
        std::this_thread::sleep_for(kAcceptRetryDelay);
      }
    }
  }

  void Accept(tcp::socket socket) {
    const ConnectionPolicy current = policy();
    std::lock_guard lock(mutex);
    RemoveEndedConnections();
    if (CountOpenConnections() >= current.limit) {
      ++stats.refused;
      return;
    }
    ++stats.accepted;
    Connection& connection = connections.emplace_back(std::move(socket));
    stats.max_open = std::max(stats.max_open, CountOpenConnections());
    connection.thread =
        std::thread([this, &connection, delay = current.connect_delay] {
          std::this_thread::sleep_for(delay);
          Serve(connection);
        });
  }

  // The caller must hold the lock. A connection that the peer has closed is not
  // counted, even when its thread still handles the last request.
  size_t CountOpenConnections() {
    return std::count_if(connections.begin(), connections.end(),
                         [](Connection& it) { return !IsClosedByPeer(it); });
  }

  // The caller must hold the lock.
  void RemoveEndedConnections() {
    for (auto it = connections.begin(); it != connections.end();) {
      if (it->ended) {
        it->thread.join();
        it = connections.erase(it);
      } else {
        ++it;
      }
    }
  }

  void Serve(Connection& connection) {
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    bool open = true;
    while (open) {
      BeastRequest request;
      beast::http::read(connection.socket, buffer, request, ec);
      if (ec) {
        break;
      }
      if (connection.silent) {
        continue;
      }
      const bool keep_alive = request.keep_alive();
      const Exchange exchange = handler(FromBeast(request));
      if (!connection.silent) {
        open = SendReply(connection.socket, exchange, keep_alive) && keep_alive;
      }
    }
    connection.socket.shutdown(tcp::socket::shutdown_both, ec);
    connection.ended = true;
  }

  // Returns whether the connection can handle another request.
  static bool SendReply(tcp::socket& socket,
                        const Exchange& exchange,
                        bool keep_alive) {
    boost::system::error_code ec;
    switch (exchange.fault) {
      case ReplyFault::kNone:
        break;
      case ReplyFault::kCloseWithoutReply:
        return false;
      case ReplyFault::kTruncatedContentLength:
      case ReplyFault::kTruncatedChunked:
        SendTruncated(socket, exchange.reply,
                      exchange.fault == ReplyFault::kTruncatedChunked);
        return false;
    }
    auto reply = ToBeast(exchange.reply, keep_alive);
    beast::http::write(socket, reply, ec);
    return !ec;
  }

  const PolicySource policy;
  const Handler handler;
  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  // Guarded by `mutex`. Only the acceptor thread adds and removes connections.
  std::list<Connection> connections;
  ConnectionStats stats;
  std::thread thread;
};

ConnectionServer::ConnectionServer(const std::string& host,
                                   uint16_t port,
                                   PolicySource policy,
                                   Handler handler)
    : impl_(std::make_unique<Impl>(host,
                                   port,
                                   std::move(policy),
                                   std::move(handler))) {}

ConnectionServer::~ConnectionServer() = default;

void ConnectionServer::SilenceOpenConnections() {
  std::lock_guard lock(impl_->mutex);
  for (Connection& connection : impl_->connections) {
    connection.silent = true;
  }
}

ConnectionStats ConnectionServer::Stats() const {
  std::lock_guard lock(impl_->mutex);
  ConnectionStats stats = impl_->stats;
  stats.open = impl_->CountOpenConnections();
  return stats;
}

}  // namespace gooseberryrock::standin
