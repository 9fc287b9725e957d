// The connections of one I/O shard to its backend servers: one selector, one
// thread, one lock.

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
  // Most connections of this node to the server.
  uint32_t max_connections = 1;
};

class BackendChannel {
 public:
  // Called on the channel's thread, once for each call that is not cancelled.
  using ResultHandler = std::function<void(BackendResult)>;

  explicit BackendChannel(ResultHandler on_result);
  BackendChannel(const BackendChannel&) = delete;
  BackendChannel& operator=(const BackendChannel&) = delete;
  // Gives up all calls without reporting them.
  ~BackendChannel();

  // Adds the server or changes its endpoint. An endpoint with another address
  // closes the connections to the old one.
  void SetEndpoint(const BackendServerId& server,
                   const BackendEndpoint& endpoint);
  void RemoveEndpoint(const BackendServerId& server);

  // Sends the call on a free connection, or keeps it until one is free or its
  // deadline has passed. An unknown server gives kNotSent.
  void Send(BackendCall call);

  // Reports the calls to `server` that wait for a connection as kNotSent: they
  // are new work that a draining server must not get.
  void DropWaiting(const BackendServerId& server);

  // Drops the call `attempt` when it waits for a connection; posts
  // `cancel_body` to /v1/cancel of the server when it may be running there. No
  // result of the call is reported.
  void Cancel(const BackendServerId& server,
              uint64_t attempt,
              std::string cancel_body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CHANNEL_H_
