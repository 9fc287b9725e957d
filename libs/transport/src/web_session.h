// A connection of a caller.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_WEB_SESSION_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_WEB_SESSION_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/http_message.h"
#include "gooseberryrock/transport/memory_reservation.h"
#include "gooseberryrock/transport/web_server.h"
#include "growing_body.h"

namespace gooseberryrock::transport {

// State shared by the sessions of all threads.
struct WebServerShared {
  WebServer::Handler handler;
  std::atomic<bool> draining = false;
  std::atomic<size_t> open_connections = 0;
  std::atomic<uint64_t> malformed_requests = 0;
  std::atomic<uint64_t> refused = 0;
  std::atomic<uint64_t> evicted = 0;
  // The limits apply to each thread in equal parts.
  size_t threads = 1;

  WebLimits Limits() const {
    std::lock_guard lock(mutex);
    return limits;
  }

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  WebLimits limits;
};

class CallerAccount;
class WebSession;

// The sessions of one thread; used on that thread only.
using WebSessionList = std::list<std::weak_ptr<WebSession>>;

class WebSession : public std::enable_shared_from_this<WebSession> {
 public:
  // `thread` is the index of the session's thread. Responses take memory of
  // `memory`, which may be null.
  WebSession(boost::asio::ip::tcp::socket socket,
             size_t thread,
             ReplyMemory* memory,
             std::shared_ptr<CallerAccount> account,
             std::shared_ptr<WebServerShared> shared);
  WebSession(const WebSession&) = delete;
  WebSession& operator=(const WebSession&) = delete;
  ~WebSession();

  void Start();
  // Sends an interim response.
  void Acknowledge(std::string_view fields);
  void Respond(Response response, bool caller_keeps_alive);
  // Closes the connection if `now` is past its deadline.
  void CheckDeadline(SteadyTime now);
  // Closes the connection if it carries no request.
  void CloseIfIdle();
  bool IsClosed() const { return state_ == State::kClosed; }
  void Close();

  ConnectionUse Use(SteadyTime now) const;
  // Gives up the memory of the request: it is refused if it was not handed on,
  // otherwise the connection is closed.
  void Refuse();
  // Closes the connection to make room for another one.
  void Evict();

 private:
  enum class State { kIdle, kReading, kBusy, kWriting, kLingering, kClosed };

  void WaitForData();
  void OnReadable();
  void ReadHeader();
  void ReadInput();
  // Parse what was read, and return whether more must be read.
  bool ParseInput();
  bool CheckHeader();
  // Accounts for the memory of the request.
  void SetHeld(size_t bytes);
  size_t CountHeld() const;
  // Frees the memory of what was read.
  void FreeRequest();
  // Closes the connection and tells the handler of the request in progress.
  void CloseRequest();
  void Dispatch();
  // `reason` is for the log and must not contain bytes of the request.
  void RespondToError(boost::beast::http::status status,
                      std::string_view reason);
  void CheckCallerDisconnected();
  void WriteMore(bool keep_alive);
  void OnWritten(bool failed, bool keep_alive);
  void Linger();
  void DiscardInput();
  void GiveUpResponse();

  boost::asio::ip::tcp::socket socket_;
  const size_t thread_;
  const std::shared_ptr<WebServerShared> shared_;
  State state_ = State::kIdle;
  // Whether a wait for data is in progress; there is at most one.
  bool waiting_ = false;
  // Whether data arrived while a request was in progress.
  bool data_pending_ = false;
  SteadyTime deadline_;
  // Start of the request or of the idle time.
  SteadyTime since_;
  // Start of the body; max() before.
  SteadyTime body_since_ = SteadyTime::max();
  size_t body_received_ = 0;
  const std::shared_ptr<CallerAccount> account_;
  // IP address of the caller.
  std::string address_;
  // Memory in `account_`.
  size_t held_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<GrowingBody>> parser_;
  // The request in progress.
  std::weak_ptr<Exchange> exchange_;
  Response response_;
  // Writes `response_`.
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer_;
  // Start of the writing, and bytes that the kernel has taken since.
  SteadyTime write_since_;
  size_t written_ = 0;
  ReplyMemory* const memory_;
  // The memory of `response_`.
  MemoryReservation reservation_;
  // Number of bytes read and discarded after the last response.
  size_t discarded_bytes_ = 0;
  // The connection is closed when `discarded_bytes_` exceeds this.
  size_t max_discarded_ = 0;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_WEB_SESSION_H_
