// HTTP server with one thread for each connection. It can count and refuse
// connections, truncate replies and stop replying on open connections.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_CONNECTION_SERVER_H_
#define GOOSEBERRYROCK_APPS_STANDIN_CONNECTION_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_reply.h"
#include "gooseberryrock/http/http_request.h"

namespace gooseberryrock::standin {

enum class ReplyFault {
  kNone,
  kTruncatedContentLength,
  kTruncatedChunked,
  kCloseWithoutReply,
};

struct Exchange {
  http::HttpReply reply;
  ReplyFault fault = ReplyFault::kNone;
};

struct ConnectionPolicy {
  uint32_t limit = 30;
  Duration connect_delay = Duration::zero();
};

struct ConnectionStats {
  size_t open = 0;
  size_t max_open = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;
};

class ConnectionServer {
 public:
  // Called on the thread of the connection.
  using Handler = std::function<Exchange(const http::HttpRequest&)>;
  // Called for each new connection.
  using PolicySource = std::function<ConnectionPolicy()>;

  // Starts to listen. Throws HttpError when that fails.
  ConnectionServer(const std::string& host,
                   uint16_t port,
                   PolicySource policy,
                   Handler handler);
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;
  // Stops listening, closes idle connections and waits for requests in flight.
  ~ConnectionServer();

  // Keeps the connections that are open now open, but sends no further replies
  // on them.
  void SilenceOpenConnections();

  ConnectionStats Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_CONNECTION_SERVER_H_
