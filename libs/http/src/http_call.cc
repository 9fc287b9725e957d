// A blocking HTTP request on its own connection.

#include "gooseberryrock/http/http_call.h"

#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/http_message.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::http {

namespace {

namespace beast_http = boost::beast::http;

// Larger replies are refused.
constexpr size_t kMaxReplyBytes = size_t{64} << 20U;

transport::Request MakeRequest(const HttpCall& call) {
  transport::Request request;
  request.method_string(call.method);
  request.target(call.path);
  request.version(11);
  const bool is_ipv6 = call.host.find(':') != std::string::npos;
  request.set(beast_http::field::host,
              (is_ipv6 ? "[" + call.host + "]" : call.host) + ":" +
                  std::to_string(call.port));
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

const char* ProblemOf(const std::optional<transport::Reply>& reply,
                      bool connected) {
  if (!connected) {
    return "cannot connect";
  }
  if (!reply) {
    return "no complete reply before the timeout";
  }
  return reply->status == transport::ReplyStatus::kMalformed
             ? "the reply is too large or not valid HTTP"
             : "the connection ended before a complete reply";
}

}  // namespace

HttpReply Execute(const HttpCall& call) {
  const std::string name =
      "request to " + call.host + ":" + std::to_string(call.port) + call.path;
  transport::Request request;
  try {
    request = MakeRequest(call);
  } catch (const std::length_error& e) {
    // Beast throws on a field of 64 KiB.
    throw HttpError(name + " cannot be sent: " + e.what());
  }
  boost::asio::io_context context(1);
  auto connection = std::make_shared<transport::ServerConnection>(context);
  bool connected = false;
  std::optional<transport::Reply> reply;
  connection->Connect(
      {call.host, call.port}, call.timeout, [&](bool is_connected) {
        connected = is_connected;
        if (connected) {
          connection->Send(
              std::move(request), kMaxReplyBytes,
              [&reply](transport::Reply it) { reply = std::move(it); });
        }
      });
  context.run_for(call.timeout);
  // Lets the handlers of the closed connection run while it exists.
  connection->Close();
  context.restart();
  context.poll();
  if (!reply || reply->status != transport::ReplyStatus::kComplete) {
    throw HttpError(name + " failed: " + ProblemOf(reply, connected));
  }
  HttpReply result;
  result.status = static_cast<int>(reply->response.result_int());
  const auto type = reply->response.find(beast_http::field::content_type);
  if (type != reply->response.end()) {
    result.content_type = type->value().to_string();
  }
  result.body = std::move(reply->response.body());
  return result;
}

}  // namespace gooseberryrock::http
