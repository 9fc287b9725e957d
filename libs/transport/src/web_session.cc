// A connection of a caller.

#include "web_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include <boost/asio/post.hpp>

#include "caller_account.h"
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

// Bytes that are read at once, and reads before other connections have a turn.
constexpr size_t kReadBytes = size_t{16} << 10U;
constexpr int kMaxReads = 4;
// Memory of a stored field beside its name and value.
constexpr size_t kFieldBytes = 96;

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

// The parser has checked the field. Its own content_length() makes GCC 12 warn
// of an uninitialized value in builds with AddressSanitizer.
std::optional<uint64_t> ContentLength(const http::request_header<>& header) {
  const auto text = header[http::field::content_length];
  uint64_t length = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), length);
  return result.ec == std::errc() ? std::optional(length) : std::nullopt;
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
                       std::shared_ptr<CallerAccount> account,
                       std::shared_ptr<WebServerShared> shared)
    : socket_(std::move(socket)),
      thread_(thread),
      shared_(std::move(shared)),
      account_(std::move(account)),
      buffer_(kMaxBufferedBytes),
      memory_(memory) {
  ++shared_->open_connections;
}

WebSession::~WebSession() {
  Close();
  --shared_->open_connections;
}

void WebSession::Start() {
  const WebLimits limits = shared_->Limits();
  since_ = BootTime();
  deadline_ = since_ + limits.idle_timeout;
  ErrorCode ec;
  const auto remote = socket_.remote_endpoint(ec);
  if (!ec) {
    address_ = remote.address().to_string();
  }
  const auto part = [this](size_t n) {
    return (n + shared_->threads - 1) / shared_->threads;
  };
  account_->Add(*this, {part(limits.connections.total),
                        part(limits.connections.per_address)});
  if (state_ != State::kClosed) {
    WaitForData();
  }
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
  } else if (state_ == State::kReading) {
    ReadInput();
  } else if (state_ == State::kBusy) {
    CheckCallerDisconnected();
  } else if (state_ == State::kWriting) {
    data_pending_ = true;
  } else if (state_ == State::kLingering) {
    DiscardInput();
  }
}

void WebSession::ReadHeader() {
  state_ = State::kReading;
  data_pending_ = false;
  const WebLimits limits = shared_->Limits();
  since_ = BootTime();
  body_since_ = SteadyTime::max();
  body_received_ = 0;
  deadline_ = since_ + limits.header_timeout;
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser_->body_limit(limits.body_bytes);
  if (buffer_.size() == 0 || ParseInput()) {
    ReadInput();
  }
}

// Reads only what has arrived, so that a connection that waits needs no memory
// for reading.
void WebSession::ReadInput() {
  std::array<char, kReadBytes> bytes;
  for (int i = 0; i < kMaxReads && state_ == State::kReading; ++i) {
    const size_t room =
        std::min(bytes.size(), kMaxBufferedBytes - buffer_.size());
    const ssize_t n =
        recv(socket_.native_handle(), bytes.data(), room, MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && errno == EAGAIN) {
      break;
    }
    if (n <= 0) {
      Close();
      return;
    }
    const auto size = static_cast<size_t>(n);
    std::copy_n(bytes.data(), size,
                static_cast<char*>(buffer_.prepare(size).data()));
    buffer_.commit(size);
    if (body_since_ != SteadyTime::max()) {
      body_received_ += size;
    }
    if (!ParseInput()) {
      return;
    }
  }
  if (state_ == State::kReading) {
    WaitForData();
  }
}

bool WebSession::ParseInput() {
  ErrorCode ec;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const bool had_header = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), ec));
    if (ec == http::error::need_more) {
      if (buffer_.size() < kMaxBufferedBytes) {
        break;
      }
      ec = http::error::buffer_overflow;
    }
    if (ec) {
      RespondToError(StatusOf(ec), ec.message());
      return false;
    }
    if (!had_header && parser_->is_header_done() && !CheckHeader()) {
      return false;
    }
  }
  if (!parser_->is_done()) {
    FreeLargeBuffer(buffer_);
  }
  SetHeld(CountHeld());
  if (state_ != State::kReading) {
    return false;
  }
  if (parser_->is_done()) {
    Dispatch();
    return false;
  }
  return true;
}

bool WebSession::CheckHeader() {
  const auto& header = parser_->get().base();
  const FramingProblem problem = CheckFraming(header);
  if (problem != FramingProblem::kNone) {
    RespondToError(problem == FramingProblem::kUnknownCoding
                       ? http::status::not_implemented
                       : http::status::bad_request,
                   FramingProblemName(problem));
    return false;
  }
  const WebLimits limits = shared_->Limits();
  const auto length = ContentLength(header);
  if (length && *length > limits.body_bytes) {
    RespondToError(http::status::payload_too_large, "too_large");
    return false;
  }
  parser_->eager(true);
  body_since_ = BootTime();
  deadline_ = body_since_ + limits.body_timeout;
  return true;
}

size_t WebSession::CountHeld() const {
  // Fields are stored one by one, each with a node of its own.
  size_t bytes = buffer_.capacity() + parser_->get().body().capacity();
  for (const auto& it : parser_->get().base()) {
    bytes += kFieldBytes + it.name_string().size() + it.value().size();
  }
  return bytes;
}

void WebSession::SetHeld(size_t bytes) {
  if (bytes != held_) {
    const size_t before = std::exchange(held_, bytes);
    account_->Resize(before, bytes,
                     shared_->Limits().held_bytes / shared_->threads);
  }
}

void WebSession::FreeRequest() {
  parser_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
  SetHeld(0);
}

ConnectionUse WebSession::Use(SteadyTime now) const {
  return {held_, now - since_, address_};
}

void WebSession::Refuse() {
  ++shared_->refused;
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "caller_refused",
                      {{"reason", "memory"},
                       {"address", address_},
                       {"bytes", std::to_string(held_)}});
  if (state_ != State::kReading) {
    CloseRequest();
    return;
  }
  FreeRequest();
  state_ = State::kBusy;
  Respond(Response(http::status::service_unavailable, 11),
          /*caller_keeps_alive=*/false);
}

void WebSession::Evict() {
  ++shared_->evicted;
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "caller_evicted",
                      {{"reason", "connections"}, {"address", address_}});
  CloseRequest();
}

void WebSession::CloseRequest() {
  std::function<void()> on_disconnected;
  if (auto exchange = exchange_.lock()) {
    on_disconnected = std::exchange(exchange->on_disconnected_, nullptr);
  }
  Close();
  if (on_disconnected) {
    // The caller of this function goes through the connections.
    asio::post(socket_.get_executor(), std::move(on_disconnected));
  }
}

void WebSession::Dispatch() {
  state_ = State::kBusy;
  // The handler limits the duration of a request.
  deadline_ = SteadyTime::max();
  auto message = parser_->release();
  parser_.reset();
  auto exchange = std::make_shared<Exchange>(
      shared_from_this(),
      Request(std::move(message.base()), std::move(message.body())),
      BootTime());
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
  FreeRequest();
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
  // The request is over; its answer is accounted for as a reply. Requests
  // behind it remain.
  SetHeld(buffer_.capacity());
  reservation_.Start(memory_, "callers", [this] { GiveUpResponse(); });
  if (!reservation_.Resize(response_.body().capacity())) {
    return;
  }
  write_since_ = BootTime();
  written_ = 0;
  serializer_.emplace(response_);
  WriteMore(keep_alive);
}

void WebSession::WriteMore(bool keep_alive) {
  http::async_write_some(
      socket_, *serializer_,
      [self = shared_from_this(), keep_alive](const ErrorCode& ec, size_t n) {
        self->written_ += n;
        if (ec || self->state_ == State::kClosed ||
            self->serializer_->is_done()) {
          self->OnWritten(static_cast<bool>(ec), keep_alive);
        } else {
          self->WriteMore(keep_alive);
        }
      });
}

void WebSession::OnWritten(bool failed, bool keep_alive) {
  reservation_.End();
  serializer_.reset();
  response_ = Response();
  if (state_ == State::kClosed) {
    return;
  }
  if (failed) {
    Close();
    return;
  }
  FreeLargeBuffer(buffer_);
  if (buffer_.size() == 0) {
    SetHeld(0);
  }
  if (!keep_alive) {
    Linger();
    return;
  }
  state_ = State::kIdle;
  since_ = BootTime();
  deadline_ = since_ + shared_->Limits().idle_timeout;
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
  FreeRequest();
  since_ = BootTime();
  deadline_ = BootTime() + kLingerTimeout;
  ErrorCode ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void WebSession::DiscardInput() {
  std::array<char, kReadBytes> bytes;
  const ssize_t n =
      recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (n > 0) {
    discarded_bytes_ += static_cast<size_t>(n);
  }
  const bool over = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  if (over || discarded_bytes_ > max_discarded_) {
    Close();
  } else {
    WaitForData();
  }
}

void WebSession::CheckDeadline(SteadyTime now) {
  if (now >= deadline_) {
    Close();
  } else if (state_ == State::kReading && body_since_ != SteadyTime::max() &&
             IsTooSlow(body_received_, now - body_since_,
                       shared_->Limits().min_rate)) {
    RespondToError(http::status::request_timeout, "too_slow");
  } else if (state_ == State::kWriting &&
             IsTooSlow(written_, now - write_since_,
                       shared_->Limits().min_rate)) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "response_given_up",
                        {{"reason", "too_slow"}});
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
  FreeRequest();
  account_->Remove(*this);
  ErrorCode ignored;
  socket_.close(ignored);
}

}  // namespace gooseberryrock::transport
