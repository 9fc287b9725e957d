// One HTTP connection to a backend server. Used only on the thread of its
// selector.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/backend_call.h"
#include "gooseberryrock/http/backend_result.h"

namespace cxxtools {
class Selector;
namespace http {
class Request;
}  // namespace http
}  // namespace cxxtools

namespace gooseberryrock::http {

class BackendConnection : public cxxtools::Connectable {
 public:
  BackendConnection(cxxtools::Selector& selector,
                    const std::string& host,
                    uint16_t port);
  ~BackendConnection() override;

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
  void OnRequestSent(cxxtools::http::Client& client);
  std::size_t OnBodyAvailable(cxxtools::http::Client& client);
  void OnReplyFinished(cxxtools::http::Client& client);
  void Fail(const std::exception& error);

  // The client holds a pointer to the request until the reply has ended.
  std::unique_ptr<cxxtools::http::Request> request_;
  cxxtools::http::Client client_;
  std::optional<BackendCall> call_;
  BackendResult result_;
  SteadyTime started_at_;
  bool abandoned_ = false;
  bool finished_ = false;
  bool reusable_ = true;
  bool answered_before_ = false;
  std::optional<SteadyTime> silent_at_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CONNECTION_H_
