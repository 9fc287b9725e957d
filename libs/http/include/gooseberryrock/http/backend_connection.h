// One HTTP connection to a backend server. Used only on the thread of its I/O
// context.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/backend_call.h"
#include "gooseberryrock/http/backend_result.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gooseberryrock::transport {
class ReplyMemory;
class ServerConnection;
struct Reply;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::http {

class BackendConnection {
 public:
  // `host` is a numeric address or a name. Replies take memory of `memory`,
  // which must outlive the connection.
  BackendConnection(boost::asio::io_context& context,
                    transport::ReplyMemory& memory,
                    std::string host,
                    uint16_t port);
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;
  ~BackendConnection();

  // Sends `call`. The connection must be idle.
  void Begin(BackendCall call, SteadyTime now);

  bool busy() const { return call_.has_value(); }
  // Valid only while busy.
  const BackendCall& call() const { return *call_; }
  // The reply to an abandoned call is read and discarded.
  void Abandon() { abandoned_ = true; }
  bool abandoned() const { return abandoned_; }

  // Whether the call has ended. TakeResult() then makes the connection idle.
  bool finished() const { return finished_; }
  BackendResult TakeResult(SteadyTime now);

  // Ends the call without a reply and returns its result. The connection must
  // be destroyed afterwards.
  BackendResult Abort(SteadyTime now);

  // Time at which the connection counts as silent; empty for never. Valid only
  // while busy.
  std::optional<SteadyTime> silent_at() const { return silent_at_; }
  void set_silent_at(SteadyTime time) { silent_at_ = time; }
  // Whether any call on the connection has received a reply.
  bool answered_before() const { return answered_before_; }

  // Whether the connection may be used for another call.
  bool reusable() const { return reusable_; }

 private:
  void Open();
  void Connect(const std::string& address);
  void OnNotConnected();
  void Send();
  void OnReply(transport::Reply reply);
  void Finish(BackendResultKind kind);

  boost::asio::io_context& context_;
  transport::ReplyMemory& memory_;
  const std::string host_;
  const uint16_t port_;
  // Null before the first call.
  std::shared_ptr<transport::ServerConnection> connection_;
  // Handlers that may run after the destruction hold a weak reference to it.
  std::shared_ptr<BackendConnection*> self_;
  std::optional<BackendCall> call_;
  BackendResult result_;
  SteadyTime started_at_;
  bool abandoned_ = false;
  bool finished_ = false;
  bool reusable_ = true;
  bool answered_before_ = false;
  // The call in progress was sent on a connection that had carried others.
  bool on_used_connection_ = false;
  std::optional<SteadyTime> silent_at_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_
