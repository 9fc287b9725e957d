// One HTTP connection to a backend server.

#include "gooseberryrock/http/backend_connection.h"

#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <string_view>
#include <utility>

namespace gooseberryrock::http {

namespace {

// Larger replies are not read to their end.
constexpr size_t kMaxReplyBytes = size_t{8} << 20U;

// cxxtools reports a failed connect only by a message with this prefix.
constexpr std::string_view kConnectFailure = "while trying to connect";

}  // namespace

BackendConnection::~BackendConnection() = default;

BackendConnection::BackendConnection(cxxtools::Selector& selector,
                                     const std::string& host,
                                     uint16_t port)
    : client_(selector, host, port) {
  cxxtools::connect(client_.requestSent, *this,
                    &BackendConnection::OnRequestSent);
  cxxtools::connect(client_.bodyAvailable, *this,
                    &BackendConnection::OnBodyAvailable);
  cxxtools::connect(client_.replyFinished, *this,
                    &BackendConnection::OnReplyFinished);
}

void BackendConnection::Begin(BackendCall call, SteadyTime now) {
  request_ = std::make_unique<cxxtools::http::Request>(call.path);
  request_->method("POST");
  request_->setHeader("Content-Type", "application/json");
  request_->body() << call.body;
  result_ = {};
  result_.attempt = call.attempt;
  result_.server = call.server;
  result_.service = call.service;
  result_.fingerprint = call.fingerprint;
  result_.rank = call.rank;
  silent_at_.reset();
  if (call.silence_timeout > Duration::zero()) {
    silent_at_ = now + call.silence_timeout;
  }
  reusable_ = reusable_ && !call.at_most_once;
  started_at_ = now;
  abandoned_ = false;
  finished_ = false;
  call_ = std::move(call);
  try {
    client_.beginExecute(*request_);
  } catch (const std::exception& e) {
    Fail(e);
  }
}

BackendResult BackendConnection::TakeResult(SteadyTime now) {
  call_.reset();
  finished_ = false;
  result_.elapsed = now - started_at_;
  return std::move(result_);
}

BackendResult BackendConnection::Abort(SteadyTime now) {
  result_.kind = BackendResultKind::kLost;
  reusable_ = false;
  return TakeResult(now);
}

void BackendConnection::OnRequestSent(cxxtools::http::Client& /*client*/) {
  ++result_.times_sent;
}

std::size_t BackendConnection::OnBodyAvailable(cxxtools::http::Client& client) {
  std::istream& in = client.in();
  const std::streamsize n = in.rdbuf()->in_avail();
  if (n <= 0) {
    return 0;
  }
  std::string buf(static_cast<size_t>(n), '\0');
  in.read(buf.data(), n);
  if (finished_) {
    return buf.size();
  }
  if (result_.body.size() + buf.size() > kMaxReplyBytes) {
    // The channel closes the connection.
    result_.body.clear();
    result_.kind = BackendResultKind::kLost;
    reusable_ = false;
    finished_ = true;
    return buf.size();
  }
  result_.body += buf;
  return buf.size();
}

void BackendConnection::OnReplyFinished(cxxtools::http::Client& client) {
  if (!call_ || finished_) {
    return;
  }
  try {
    client.endExecute();
    result_.kind = BackendResultKind::kReply;
    answered_before_ = true;
    result_.http_status = static_cast<int>(client.header().httpReturnCode());
    reusable_ = reusable_ && client.header().keepAlive();
    finished_ = true;
  } catch (const std::exception& e) {
    Fail(e);
  }
}

void BackendConnection::Fail(const std::exception& error) {
  const bool not_connected =
      result_.times_sent == 0 &&
      std::string_view(error.what()).starts_with(kConnectFailure);
  result_.kind =
      not_connected ? BackendResultKind::kNotSent : BackendResultKind::kLost;
  result_.refused = not_connected;
  reusable_ = false;
  finished_ = true;
}

}  // namespace gooseberryrock::http
