// A connection of a caller.

#include "web_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "message_framing.h"

namespace gooseberryrock::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

// Maximum time to write a response; connections of callers that do not read it
// are closed.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
// After an error the connection stays open this long, because closing it with
// unread data could discard the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

// Limits on the data that is read and discarded after the response before the
// connection is closed. A body that is too large may be an operator's largest
// request (4 MiB), which must receive its response; a header has no reason to
// continue.
constexpr size_t kMaxDiscardedBody = (size_t{4} << 20U) + (size_t{64} << 10U);
constexpr size_t kMaxDiscardedBytes = size_t{256} << 10U;

constexpr char kInterimStatusLine[] = "HTTP/1.1 102 Processing\r\n";

http::status StatusOf(const ErrorCode& ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (ec == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

bool IsParseError(const ErrorCode& ec) {
  return ec.category() == http::make_error_code(http::error{}).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

Exchange::Exchange(std::shared_ptr<WebSession> session,
                   Request request,
                   SteadyTime received_at)
    : session_(std::move(session)),
      request_(std::move(request)),
      keep_alive_(request_.keep_alive()),
      received_at_(received_at) {}

Exchange::~Exchange() {
  if (session_) {
    session_->Close();
  }
}

void Exchange::Respond(Response response) {
  on_disconnected_ = nullptr;
  if (auto session = std::exchange(session_, nullptr)) {
    session->Respond(std::move(response), keep_alive_);
  }
}

void Exchange::Acknowledge(std::string_view fields) {
  if (session_) {
    session_->Acknowledge(fields);
  }
}

bool Exchange::IsCallerDisconnected() const {
  return !session_ || session_->IsClosed();
}

void Exchange::OnCallerDisconnected(std::function<void()> handler) {
  on_disconnected_ = std::move(handler);
}

WebSession::WebSession(asio::ip::tcp::socket socket,
                       size_t thread,
                       ReplyMemory* memory,
                       std::shared_ptr<WebServerShared> shared)
    : socket_(std::move(socket)),
      thread_(thread),
      shared_(std::move(shared)),
      buffer_(kMaxBufferedBytes),
      memory_(memory) {
  ++shared_->open_connections;
}

WebSession::~WebSession() {
  --shared_->open_connections;
}

void WebSession::Start() {
  deadline_ = BootTime() + shared_->Limits().idle_timeout;
  WaitForData();
}

void WebSession::WaitForData() {
  if (waiting_) {
    return;
  }
  waiting_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& ec) {
                       self->waiting_ = false;
                       if (!ec) {
                         self->OnReadable();
                       }
                     });
}

void WebSession::OnReadable() {
  if (state_ == State::kIdle) {
    ReadHeader();
  } else if (state_ == State::kBusy) {
    CheckCallerDisconnected();
  } else if (state_ == State::kWriting) {
    data_pending_ = true;
  }
}

void WebSession::ReadHeader() {
  state_ = State::kReading;
  data_pending_ = false;
  const WebLimits limits = shared_->Limits();
  deadline_ = BootTime() + limits.header_timeout;
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser_->body_limit(limits.body_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& ec, size_t) {
        if (self->state_ == State::kClosed) {
          return;
        }
        if (ec) {
          IsParseError(ec) ? self->RespondToError(StatusOf(ec), ec.message())
                           : self->Close();
          return;
        }
        self->ReadBody();
      });
}

void WebSession::ReadBody() {
  const FramingProblem problem = CheckFraming(parser_->get());
  if (problem != FramingProblem::kNone) {
    RespondToError(problem == FramingProblem::kUnknownCoding
                       ? http::status::not_implemented
                       : http::status::bad_request,
                   FramingProblemName(problem));
    return;
  }
  if (parser_->is_done()) {
    Dispatch();
    return;
  }
  const auto length = parser_->content_length();
  if (length && *length > shared_->Limits().body_bytes) {
    RespondToError(http::status::payload_too_large, "too_large");
    return;
  }
  deadline_ = BootTime() + shared_->Limits().body_timeout;
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](const ErrorCode& ec, size_t) {
                     if (self->state_ == State::kClosed) {
                       return;
                     }
                     if (ec) {
                       IsParseError(ec)
                           ? self->RespondToError(StatusOf(ec), ec.message())
                           : self->Close();
                       return;
                     }
                     self->Dispatch();
                   });
}

void WebSession::Dispatch() {
  state_ = State::kBusy;
  // The handler limits the duration of a request.
  deadline_ = SteadyTime::max();
  auto exchange = std::make_shared<Exchange>(shared_from_this(),
                                             parser_->release(), BootTime());
  exchange_ = exchange;
  if (buffer_.size() == 0) {
    // A request may arrive together with the end of its connection, for example
    // when a partition ends. It is not processed then.
    CheckCallerDisconnected();
  }
  if (state_ != State::kClosed) {
    shared_->handler(thread_, std::move(exchange));
  }
}

void WebSession::CheckCallerDisconnected() {
  std::array<char, 1> byte{};
  const ssize_t n = recv(socket_.native_handle(), byte.data(), byte.size(),
                         MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    data_pending_ = true;
    return;
  }
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    WaitForData();
    return;
  }
  std::function<void()> on_disconnected;
  if (auto exchange = exchange_.lock()) {
    on_disconnected = std::exchange(exchange->on_disconnected_, nullptr);
  }
  Close();
  if (on_disconnected) {
    on_disconnected();
  }
}

void WebSession::RespondToError(http::status status, std::string_view reason) {
  ++shared_->malformed_requests;
  telemetry::LogEvent(
      telemetry::LogLevel::kWarning, "request_malformed",
      {{"status", std::to_string(static_cast<unsigned>(status))},
       {"reason", std::string(reason)}});
  if (status == http::status::payload_too_large) {
    max_discarded_ = kMaxDiscardedBody;
  }
  state_ = State::kBusy;
  Response response(status, 11);
  Respond(std::move(response), /*caller_keeps_alive=*/false);
}

// Sent without waiting: the previous response was written completely, so that
// the socket usually has room for it.
void WebSession::Acknowledge(std::string_view fields) {
  if (state_ != State::kBusy) {
    return;
  }
  const std::string text = kInterimStatusLine + std::string(fields) + "\r\n";
  const ssize_t n = send(socket_.native_handle(), text.data(), text.size(),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
  // The rest of a partial response cannot be told apart from the final one.
  if (n > 0 && n != static_cast<ssize_t>(text.size())) {
    Close();
  }
}

void WebSession::Respond(Response response, bool caller_keeps_alive) {
  if (state_ != State::kBusy) {
    return;
  }
  state_ = State::kWriting;
  deadline_ = BootTime() + kWriteTimeout;
  const bool keep_alive = caller_keeps_alive && !shared_->draining;
  response_ = std::move(response);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  reservation_.Start(memory_, "callers", [this] { GiveUpResponse(); });
  if (!reservation_.Resize(response_.body().capacity())) {
    return;
  }
  http::async_write(
      socket_, response_,
      [self = shared_from_this(), keep_alive](const ErrorCode& ec, size_t) {
        self->OnWritten(static_cast<bool>(ec), keep_alive);
      });
}

void WebSession::OnWritten(bool failed, bool keep_alive) {
  reservation_.End();
  response_ = Response();
  if (state_ == State::kClosed) {
    return;
  }
  if (failed) {
    Close();
    return;
  }
  FreeLargeBuffer(buffer_);
  if (!keep_alive) {
    Linger();
    return;
  }
  state_ = State::kIdle;
  deadline_ = BootTime() + shared_->Limits().idle_timeout;
  if (buffer_.size() > 0 || data_pending_) {
    ReadHeader();
  } else {
    WaitForData();
  }
}

void WebSession::GiveUpResponse() {
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "response_given_up",
                      {{"reason", "memory"}});
  Close();
}

void WebSession::Linger() {
  state_ = State::kLingering;
  max_discarded_ = std::max(max_discarded_, kMaxDiscardedBytes);
  deadline_ = BootTime() + kLingerTimeout;
  ErrorCode ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void WebSession::DiscardInput() {
  buffer_.clear();
  constexpr size_t kChunk = size_t{16} << 10U;
  socket_.async_read_some(
      buffer_.prepare(kChunk),
      [self = shared_from_this()](const ErrorCode& ec, size_t n) {
        self->discarded_bytes_ += n;
        if (ec || self->discarded_bytes_ > self->max_discarded_) {
          self->Close();
        } else if (self->state_ != State::kClosed) {
          self->DiscardInput();
        }
      });
}

void WebSession::CheckDeadline(SteadyTime now) {
  if (now >= deadline_) {
    Close();
  }
}

void WebSession::CloseIfIdle() {
  if (state_ != State::kIdle) {
    return;
  }
  ErrorCode ec;
  if (socket_.available(ec) > 0) {
    ReadHeader();
  } else {
    Close();
  }
}

void WebSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
}

}  // namespace gooseberryrock::transport
