// A connection to a backend server, which carries one request at a time. A
// request is sent exactly once and never resent.
//
// All functions must be called on the thread of the I/O context. Handlers run
// on that thread, but never within a call.

#ifndef GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_
#define GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/http_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gooseberryrock::transport {

class ReplyMemory;
struct Endpoint;

enum class ReplyStatus {
  // `response` is complete.
  kComplete,
  // The connection ended before a complete reply; the request may have been
  // executed.
  kConnectionLost,
  // The peer did not send a valid HTTP reply; the request may have been
  // executed.
  kMalformed,
  // The reply was given up because replies took too much memory; the request
  // may have been executed.
  kGivenUp,
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
  using InterimHandler = std::function<void(const Response& header)>;

  explicit ServerConnection(boost::asio::io_context& context);
  // Replies take memory of `memory`, which must outlive the connection, as one
  // of the replies of `holder`.
  ServerConnection(boost::asio::io_context& context,
                   ReplyMemory& memory,
                   std::string holder);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  // Opens the connection, or fails after `timeout`.
  void Connect(const Endpoint& endpoint,
               Duration timeout,
               ConnectHandler handler);

  // Sends `request` and calls `handler` once with the final reply. Replies
  // larger than `max_body` are treated as malformed, and so are too many
  // interim ones. Calls `on_interim`, if set, for each interim reply before it.
  void Send(Request request,
            size_t max_body,
            ReplyHandler handler,
            InterimHandler on_interim = nullptr);

  // Reads the next reply after one that belongs to another request.
  void ReadNextReply(size_t max_body, ReplyHandler handler);

  // Calls `handler` if the peer closes the idle connection or sends unsolicited
  // data. Ends with the next Send().
  void WatchIdle(std::function<void()> handler);

  // Closes the connection. No handler is called afterwards. What the peer has
  // not received yet of a request without a reply is discarded.
  void Close();

 private:
  struct Impl;
  void ReadHeader();
  void OnHeader();
  void ReadBody();
  // `readable`: the connection may have more of the reply.
  void OnBody(bool readable, ReplyStatus status);
  void GiveUp();
  void Finish(ReplyStatus status);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_SERVER_CONNECTION_H_
