// A blocking HTTP request on its own connection.

#include "gooseberryrock/http/http_call.h"

#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/http_message.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::http {

namespace {

namespace asio = boost::asio;
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

// Returns the addresses of `host`; itself if it is numeric.
std::vector<std::string> Resolve(asio::io_context& context,
                                 const std::string& host) {
  std::vector<std::string> addresses;
  boost::system::error_code ec;
  for (const auto& it :
       asio::ip::tcp::resolver(context).resolve(host, "", ec)) {
    addresses.push_back(it.endpoint().address().to_string());
  }
  return addresses;
}

}  // namespace

HttpReply Execute(const HttpCall& call) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + call.timeout;
  const std::string name =
      "request to " + call.host + ":" + std::to_string(call.port) + call.path;
  transport::Request request;
  try {
    request = MakeRequest(call);
  } catch (const std::length_error& e) {
    // Beast throws on a field of 64 KiB.
    throw HttpError(name + " cannot be sent: " + e.what());
  }
  asio::io_context context(1);
  bool connected = false;
  std::optional<transport::Reply> reply;
  for (const std::string& address : Resolve(context, call.host)) {
    auto connection = std::make_shared<transport::ServerConnection>(context);
    connection->Connect(
        {address, call.port}, call.timeout, [&](bool is_connected) {
          connected = is_connected;
          if (connected) {
            connection->Send(
                std::move(request), kMaxReplyBytes,
                [&reply](transport::Reply it) { reply = std::move(it); });
          }
        });
    context.restart();
    context.run_until(deadline);
    // Lets the handlers of the closed connection run while it exists.
    connection->Close();
    context.restart();
    context.poll();
    if (connected) {
      break;
    }
  }
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
