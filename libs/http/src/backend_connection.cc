// One HTTP connection to a backend server.

#include "gooseberryrock/http/backend_connection.h"

#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/http_message.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

// Larger replies are not read to their end.
constexpr size_t kMaxReplyBytes = size_t{8} << 20U;
// Longer than the deadline of any call, which ends an attempt to connect.
constexpr Duration kConnectTimeout = std::chrono::hours(1);

transport::Request MakeRequest(const BackendCall& call,
                               const std::string& host,
                               uint16_t port) {
  transport::Request request(beast_http::verb::post, call.path, 11);
  request.set(beast_http::field::host, host + ":" + std::to_string(port));
  request.set(beast_http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

}  // namespace

BackendConnection::BackendConnection(asio::io_context& context,
                                     transport::ReplyMemory& memory,
                                     std::string host,
                                     uint16_t port)
    : context_(context),
      memory_(memory),
      host_(std::move(host)),
      port_(port),
      self_(std::make_shared<BackendConnection*>(this)) {}

BackendConnection::~BackendConnection() {
  if (connection_) {
    connection_->Close();
  }
}

void BackendConnection::Begin(BackendCall call, SteadyTime now) {
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
  on_used_connection_ = connection_ != nullptr;
  if (connection_) {
    Send();
  } else {
    Open();
  }
}

void BackendConnection::Open() {
  boost::system::error_code ec;
  asio::ip::make_address(host_, ec);
  if (!ec) {
    Connect(host_);
    return;
  }
  auto resolver = std::make_shared<asio::ip::tcp::resolver>(context_);
  resolver->async_resolve(
      host_, std::to_string(port_),
      [resolver, weak = std::weak_ptr(self_)](
          const boost::system::error_code& error,
          const asio::ip::tcp::resolver::results_type& results) {
        const auto self = weak.lock();
        if (!self || (*self)->finished_) {
          return;
        }
        if (error || results.empty()) {
          (*self)->OnNotConnected();
        } else {
          (*self)->Connect(results.begin()->endpoint().address().to_string());
        }
      });
}

void BackendConnection::Connect(const std::string& address) {
  connection_ = std::make_shared<transport::ServerConnection>(
      context_, memory_, host_ + ":" + std::to_string(port_));
  connection_->Connect({address, port_}, kConnectTimeout,
                       [this](bool connected) {
                         if (connected) {
                           Send();
                         } else {
                           OnNotConnected();
                         }
                       });
}

void BackendConnection::OnNotConnected() {
  // A call that is sent again may have run the first time.
  result_.refused = result_.times_sent == 0;
  Finish(result_.refused ? BackendResultKind::kNotSent
                         : BackendResultKind::kLost);
}

void BackendConnection::Send() {
  ++result_.times_sent;
  connection_->Send(
      MakeRequest(*call_, host_, port_), kMaxReplyBytes,
      [this](transport::Reply reply) { OnReply(std::move(reply)); });
}

void BackendConnection::OnReply(transport::Reply reply) {
  if (reply.status == transport::ReplyStatus::kComplete) {
    result_.body = std::move(reply.response.body());
    result_.http_status = static_cast<int>(reply.response.result_int());
    answered_before_ = true;
    reusable_ = reusable_ && reply.reusable;
    Finish(BackendResultKind::kReply);
    return;
  }
  // A server may close an idle connection while the next call is on its way.
  if (reply.status == transport::ReplyStatus::kConnectionLost &&
      on_used_connection_ && !call_->at_most_once) {
    on_used_connection_ = false;
    connection_->Close();
    Open();
    return;
  }
  Finish(BackendResultKind::kLost);
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

void BackendConnection::Finish(BackendResultKind kind) {
  result_.kind = kind;
  reusable_ = reusable_ && kind == BackendResultKind::kReply;
  finished_ = true;
}

}  // namespace gooseberryrock::http
