// The connections of one I/O shard to its backend servers, with one thread and
// one lock.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_CHANNEL_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/http/backend_call.h"
#include "gooseberryrock/http/backend_result.h"

namespace gooseberryrock::http {

struct BackendEndpoint {
  std::string host;
  uint16_t port = 0;
  // Maximum number of connections from this node to the server.
  uint32_t max_connections = 1;
};

class BackendChannel {
 public:
  // Called on the channel thread, once for each call that is not cancelled.
  using ResultHandler = std::function<void(BackendResult)>;

  explicit BackendChannel(ResultHandler on_result);
  BackendChannel(const BackendChannel&) = delete;
  BackendChannel& operator=(const BackendChannel&) = delete;
  // Aborts all calls without reporting results.
  ~BackendChannel();

  // Adds the server or changes its endpoint. A changed address closes the
  // connections to the old one.
  void SetEndpoint(const BackendServerId& server,
                   const BackendEndpoint& endpoint);
  void RemoveEndpoint(const BackendServerId& server);

  // Sends the call on a free connection, or queues it until a connection is
  // free or the deadline passes. Reports kNotSent for an unknown server.
  void Send(BackendCall call);

  // Reports all queued calls to `server` as kNotSent, because a draining server
  // must not receive new work.
  void RejectQueued(const BackendServerId& server);

  // Drops the call `attempt` if it is queued. Posts `cancel_body` to /v1/cancel
  // if the server may be running it. No result is reported for the call.
  void Cancel(const BackendServerId& server,
              uint64_t attempt,
              std::string cancel_body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CHANNEL_H_
