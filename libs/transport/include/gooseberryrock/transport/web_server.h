// An HTTP server that accepts connections on several I/O threads. It enforces
// its limits while a request is being received.

#ifndef GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_
#define GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/caller_limits.h"

namespace gooseberryrock::transport {

class Exchange;
class IoThread;
class ReplyMemory;
struct Endpoint;

struct WebLimits {
  // Headers over 64 KiB are refused in any case.
  size_t header_bytes = size_t{16} << 10U;
  size_t body_bytes = size_t{1} << 20U;
  // Time from the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(3);
  // Time from the end of the header to the end of the body.
  Duration body_timeout = std::chrono::seconds(10);
  // Time after which a connection without a request is closed.
  Duration idle_timeout = std::chrono::seconds(17);
  // Memory of all heads, bodies, and requests that wait or are in progress.
  size_t held_bytes = size_t{16} << 20U;
  ConnectionLimits connections;
  MinRate min_rate;
};

class WebServer {
 public:
  // Called on the connection's thread; `thread` is its index in `threads`.
  using Handler = std::function<void(size_t thread, std::shared_ptr<Exchange>)>;

  // Throws TransportError if the address cannot be used. Connections are
  // assigned to the threads in turn. The threads must outlive the server and be
  // stopped before it is destroyed. `memory` limits the responses of each
  // thread; it is empty or has an element for each thread, which must outlive
  // the thread.
  WebServer(const std::vector<IoThread*>& threads,
            const Endpoint& endpoint,
            const WebLimits& limits,
            Handler handler,
            const std::vector<ReplyMemory*>& memory = {});
  WebServer(const WebServer&) = delete;
  WebServer& operator=(const WebServer&) = delete;
  ~WebServer();

  uint16_t port() const;

  // Sets the limits for subsequent requests. Thread-safe.
  void SetLimits(const WebLimits& limits);

  // Makes all subsequent responses ask the caller to close its connection.
  void StartDraining();

  // Stops accepting connections and closes those without a request.
  void StopAccepting();

  // Number of open connections. After StopAccepting() it reaches zero when the
  // last response has been sent.
  size_t OpenConnections() const;

  // Number of requests that were refused because they could not be read, since
  // the start.
  uint64_t MalformedRequests() const;

  // Number of connections that were refused or closed because callers took too
  // much memory, and because there were too many, since the start.
  uint64_t ConnectionsRefused() const;
  uint64_t ConnectionsEvicted() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_
