// Calls the nodes in turn until one returns a conclusive reply.

#include "node_calls.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

#include "ctl_options.h"
#include "gooseberryrock/http/http_error.h"
#include "usage_error.h"

namespace gooseberryrock::ctl {

namespace {

struct Endpoint {
  std::string host;
  uint16_t port = 0;
};

Endpoint ParseEndpoint(const std::string& node) {
  const size_t colon = node.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    endpoint.host = node.substr(0, colon);
    const char* end = node.data() + node.size();
    const auto result =
        std::from_chars(node.data() + colon + 1, end, endpoint.port);
    if (result.ptr != end || result.ec != std::errc()) {
      endpoint.port = 0;
    }
  }
  // IPv6 addresses are written in brackets, such as [::1]:8080.
  if (endpoint.host.starts_with('[') && endpoint.host.ends_with(']')) {
    endpoint.host = endpoint.host.substr(1, endpoint.host.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(endpoint.host, ec);
  if (ec || endpoint.port == 0) {
    throw UsageError("--node " + node +
                     " is not of the form host:port with a numeric address");
  }
  return endpoint;
}

// http::Execute() does not report whether the request was sent. A failed
// connection attempt here proves that it was not. Uses Boost.Asio because
// cxxtools/net/tcpsocket.h does not compile as C++20.
bool CanConnect(const Endpoint& endpoint, Duration timeout) {
  const auto address = boost::asio::ip::make_address(endpoint.host);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  bool connected = false;
  socket.async_connect(
      {address, endpoint.port},
      [&](const boost::system::error_code& result) { connected = !result; });
  context.run_for(timeout);
  return connected;
}

// Returns the start of `body` on one line, with control characters as spaces.
std::string FirstBytesOnOneLine(const std::string& body) {
  constexpr size_t kMaxBytes = 300;
  std::string line = body.substr(0, kMaxBytes);
  std::replace_if(
      line.begin(), line.end(), [](unsigned char c) { return c < ' '; }, ' ');
  return line;
}

}  // namespace

CallResult CallNodes(const CtlOptions& options, const NodeCall& call) {
  std::vector<Endpoint> endpoints;
  for (const std::string& node : options.nodes) {
    endpoints.push_back(ParseEndpoint(node));
  }
  CallResult result;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const std::string& node = options.nodes[i];
    if (!CanConnect(endpoints[i], options.timeout)) {
      result.failures.push_back(node + ": cannot be reached");
      continue;
    }
    http::HttpCall http_call = call.call;
    http_call.host = endpoints[i].host;
    http_call.port = endpoints[i].port;
    ReplyClass reply_class = ReplyClass::kMayHaveRun;
    std::string failure;
    try {
      result.reply = http::Execute(http_call);
      reply_class = call.classify(result.reply);
      failure = "replied " + std::to_string(result.reply.status) + " " +
                FirstBytesOnOneLine(result.reply.body);
      // A refusal by this node does not prove that an earlier node, which may
      // have run the call, did not run it.
      if (result.kind == CallResultKind::kMayHaveRun &&
          result.reply.status >= 400) {
        reply_class = ReplyClass::kMayHaveRun;
      }
    } catch (const http::HttpError&) {
      failure =
          "no whole reply within " +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             http_call.timeout)
                             .count()) +
          " ms";
    }
    if (reply_class == ReplyClass::kFinal) {
      result.kind = CallResultKind::kReply;
      return result;
    }
    result.failures.push_back(node);
    result.failures.back() += ": " + failure;
    if (reply_class == ReplyClass::kMayHaveRun) {
      result.kind = CallResultKind::kMayHaveRun;
      if (!call.safe_to_resend) {
        return result;
      }
    }
  }
  return result;
}

}  // namespace gooseberryrock::ctl
