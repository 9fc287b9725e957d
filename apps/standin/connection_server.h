// An HTTP server with one thread for each connection, which lets a stand-in
// count, refuse, cut and silence single connections.

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
  kHalfContentLength,
  kHalfChunked,
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
  size_t most_open = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;
};

class ConnectionServer {
 public:
  // Called on the thread of the connection.
  using Handler = std::function<Exchange(const http::HttpRequest&)>;
  // Asked for each new connection.
  using PolicySource = std::function<ConnectionPolicy()>;

  // Listens at once. Throws HttpError when the address cannot be used.
  ConnectionServer(const std::string& host,
                   uint16_t port,
                   PolicySource policy,
                   Handler handler);
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;
  // Stops listening, closes idle connections and waits for the requests in
  // flight.
  ~ConnectionServer();

  // The connections that are open now stay open and send nothing any more.
  void SilenceOpenConnections();

  ConnectionStats Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_CONNECTION_SERVER_H_
