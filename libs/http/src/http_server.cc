// An HTTP server that calls a handler for each request.

#include "gooseberryrock/http/http_server.h"

#include <algorithm>
#include <cctype>
#include <condition_variable>

#include <mutex>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/http/http_reply.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/transport_error.h"
#include "gooseberryrock/transport/web_server.h"
#include "gooseberryrock/transport/worker_pool.h"

namespace gooseberryrock::http {

namespace {

// A body is read up to this multiple of the limit, so that the handler can
// state the limit in its reply.
constexpr size_t kReadLimitFactor = 16;
// Time limit for requests in flight at shutdown, longer than the maximum
// deadline of a query.
constexpr Duration kShutdownTimeout = std::chrono::seconds(10);
constexpr Duration kShutdownPollInterval = std::chrono::milliseconds(5);

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest ToRequest(transport::Request message, size_t max_body_bytes) {
  HttpRequest request;
  request.method = message.method_string().to_string();
  request.path = message.target().to_string();
  for (const auto& field : message) {
    request.headers[LowerCase(field.name_string().to_string())] =
        field.value().to_string();
  }
  if (message.body().size() > max_body_bytes) {
    request.body_too_large = true;
  } else {
    request.body = std::move(message.body());
  }
  return request;
}

transport::Response ToResponse(HttpReply reply) {
  transport::Response response(
      static_cast<boost::beast::http::status>(reply.status), 11);
  response.set(boost::beast::http::field::content_type, reply.content_type);
  response.body() = std::move(reply.body);
  return response;
}

HttpReply InternalError() {
  return {500, "application/json",
          R"({"error":"internal","message":"the request failed"})"};
}

// Memory of requests: several of the operators' largest ones at once. Queries
// are far smaller.
constexpr size_t kHeldBytes = size_t{64} << 20U;

transport::WebLimits LimitsOf(const HttpServerOptions& options) {
  transport::WebLimits limits;
  limits.body_bytes = options.max_body_bytes * kReadLimitFactor;
  limits.held_bytes = std::max(kHeldBytes, 2 * limits.body_bytes);
  limits.connections =
      transport::DeriveConnectionLimits(transport::DescriptorLimit(), {});
  return limits;
}

}  // namespace

struct HttpServer::Impl {
  Impl(const HttpServerOptions& server_options, Handler request_handler)
      : options(server_options),
        handler(std::move(request_handler)),
        workers(options.threads, options.max_waiting),
        server({&io},
               transport::Endpoint{options.host, options.port},
               LimitsOf(options),
               [this](size_t /*thread*/,
                      const std::shared_ptr<transport::Exchange>& it) {
                 OnRequest(it);
               }) {}

  ~Impl() {
    server.StopAccepting();
    const SteadyTime end = BootTime() + kShutdownTimeout;
    std::mutex mutex;
    std::condition_variable wait;
    std::unique_lock lock(mutex);
    while (server.OpenConnections() > 0 && BootTime() < end) {
      wait.wait_for(lock, kShutdownPollInterval, [] { return false; });
    }
    io.Stop();
  }

  void OnRequest(const std::shared_ptr<transport::Exchange>& exchange) {
    auto task = [this, exchange] {
      HttpReply reply = InternalError();
      try {
        reply = handler(
            ToRequest(std::move(exchange->request()), options.max_body_bytes));
      } catch (...) {
        // `reply` reports the failure to the caller. An exception that left the
        // thread would terminate the process.
      }
      Respond(exchange, std::move(reply));
    };
    if (!workers.Post(std::move(task))) {
      exchange->Respond(ToResponse(
          {503, "application/json",
           R"({"error":"overloaded","message":"too many requests"})"}));
    }
  }

  // Responses are sent on the I/O thread.
  void Respond(const std::shared_ptr<transport::Exchange>& exchange,
               HttpReply reply) {
    io.Post([exchange, reply = std::move(reply)] {
      exchange->Respond(ToResponse(reply));
    });
  }

  const HttpServerOptions options;
  const Handler handler;
  transport::IoThread io;
  transport::WorkerPool workers;
  transport::WebServer server;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler) {
  try {
    impl_ = std::make_unique<Impl>(options, std::move(handler));
  } catch (const transport::TransportError& e) {
    throw HttpError(e.what());
  }
}

HttpServer::~HttpServer() = default;

uint64_t HttpServer::MalformedRequests() const {
  return impl_->server.MalformedRequests();
}

}  // namespace gooseberryrock::http
