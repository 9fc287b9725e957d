// Accepts connections of callers on several I/O threads and reads their
// requests with limits that hold while the bytes arrive.

#ifndef GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_
#define GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::transport {

class Exchange;
class IoThread;
struct Endpoint;

struct WebLimits {
  size_t header_bytes = size_t{16} << 10U;
  size_t body_bytes = size_t{1} << 20U;
  // From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(3);
  // From the end of the header to the end of the body.
  Duration body_timeout = std::chrono::seconds(10);
  // A connection without a request is closed after this time.
  Duration idle_timeout = std::chrono::seconds(17);
};

class WebServer {
 public:
  // Called on the thread of the connection; `thread` is its index in `threads`.
  using Handler = std::function<void(size_t thread, std::shared_ptr<Exchange>)>;

  // Throws TransportError when the address cannot be used. Connections go to
  // the threads in turn. The threads outlive the server and are stopped before
  // it is destroyed.
  WebServer(const std::vector<IoThread*>& threads,
            const Endpoint& endpoint,
            const WebLimits& limits,
            Handler handler);
  WebServer(const WebServer&) = delete;
  WebServer& operator=(const WebServer&) = delete;
  ~WebServer();

  uint16_t port() const;

  // Limits of the requests that arrive from now on. From any thread.
  void SetLimits(const WebLimits& limits);

  // From now on each response asks the caller to close its connection.
  void StartDraining();

  // Accepts no connection any more and closes those without a request.
  void StopAccepting();

  // Connections that are open. After StopAccepting() it comes to zero when the
  // last response has left.
  size_t OpenConnections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_WEB_SERVER_H_
