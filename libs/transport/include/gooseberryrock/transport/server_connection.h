// One connection to a backend server, which carries one request at a time. A
// request is sent exactly once; nothing is sent again.
//
// All functions are called on the thread of the I/O context, and handlers run
// there, never inside a call.

#ifndef GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_
#define GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_

#include <functional>
#include <memory>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/http_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gooseberryrock::transport {

struct Endpoint;

enum class ReplyStatus {
  // `response` is whole.
  kComplete,
  // The connection ended before a whole reply; the request may have run.
  kConnectionLost,
  // The peer sent bytes that are no HTTP reply; the request may have run.
  kMalformed,
};

struct Reply {
  ReplyStatus status = ReplyStatus::kConnectionLost;
  Response response;
  // Whether the connection can carry another request.
  bool reusable = false;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using ConnectHandler = std::function<void(bool connected)>;
  using ReplyHandler = std::function<void(Reply)>;

  explicit ServerConnection(boost::asio::io_context& context);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  // Opens the connection within `timeout`.
  void Connect(const Endpoint& endpoint,
               Duration timeout,
               ConnectHandler handler);

  // Sends `request`, and calls `handler` once with its reply. Replies larger
  // than `max_body` count as malformed.
  void Send(Request request, size_t max_body, ReplyHandler handler);

  // Reads the next reply after one that answers another request.
  void ReadAnother(size_t max_body, ReplyHandler handler);

  // Calls `handler` when the peer closes the idle connection or sends bytes
  // that no request asked for. Ends with the next Send().
  void WatchIdle(std::function<void()> handler);

  // No handler is called any more.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_
