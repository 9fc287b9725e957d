// A request of a caller and its response.

#ifndef GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_
#define GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::transport {

class WebSession;

// Used on the thread of the caller's connection.
class Exchange {
 public:
  Exchange(std::shared_ptr<WebSession> session,
           Request request,
           SteadyTime received_at);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  // Closes the connection if no response was sent.
  ~Exchange();

  Request& request() { return request_; }
  // When the request was completely received.
  SteadyTime received_at() const { return received_at_; }

  // Sends the response; does nothing if the caller has disconnected. Must be
  // called at most once. Sets the Content-Length and Connection fields.
  void Respond(Response response);

  // Tells the caller, before the response, that the request is being processed,
  // in an interim response with `fields`, each of which ends with CRLF. The
  // caller must expect it. Does nothing if the caller has disconnected or does
  // not read.
  void Acknowledge(std::string_view fields = {});

  // Whether the caller closed the connection before the response.
  bool IsCallerDisconnected() const;

  // Calls `handler` if the caller closes the connection before the response.
  void OnCallerDisconnected(std::function<void()> handler);

 private:
  friend class WebSession;

  std::shared_ptr<WebSession> session_;
  Request request_;
  // A copy, because the request may be moved from.
  const bool keep_alive_;
  SteadyTime received_at_;
  std::function<void()> on_disconnected_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_
