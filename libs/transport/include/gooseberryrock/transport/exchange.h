// A request of a caller and the way back to it.

#ifndef GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_
#define GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_

#include <functional>
#include <memory>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::transport {

class WebSession;

// Used on the thread of the connection that the request came on.
class Exchange {
 public:
  Exchange(std::shared_ptr<WebSession> session,
           Request request,
           SteadyTime received_at);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  // Closes the connection when no response was given.
  ~Exchange();

  Request& request() { return request_; }
  // When the whole request had been read.
  SteadyTime received_at() const { return received_at_; }

  // Sends the response; does nothing when the caller has gone. Called once.
  // The length field and those about the connection are set here.
  void Respond(Response response);

  // Whether the caller closed the connection before the response.
  bool IsCallerGone() const;

  // Calls `handler` when the caller closes the connection before the response.
  void OnCallerDisconnected(std::function<void()> handler);

 private:
  friend class WebSession;

  std::shared_ptr<WebSession> session_;
  Request request_;
  // Kept apart, since the request may be moved from.
  const bool keep_alive_;
  SteadyTime received_at_;
  std::function<void()> on_gone_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_EXCHANGE_H_
