// Serves the metrics of a process on a separate address.

#include "gooseberryrock/monitoring/metrics_server.h"

#include <utility>
#include <vector>

#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/web_server.h"

namespace gooseberryrock::monitoring {

namespace {

namespace http = boost::beast::http;

constexpr char kPath[] = "/metrics";

// Requests have no body, and only operators' collectors send them.
transport::WebLimits MetricsLimits() {
  transport::WebLimits limits;
  limits.body_bytes = size_t{4} << 10U;
  limits.held_bytes = size_t{1} << 20U;
  limits.connections = transport::kFewConnections;
  return limits;
}

bool IsMetricsRequest(const transport::Request& request) {
  return request.method() == http::verb::get && request.target() == kPath;
}

}  // namespace

struct MetricsServer::Impl {
  Impl(transport::IoThread& thread,
       const transport::Endpoint& endpoint,
       const telemetry::Metrics& served,
       std::function<void()> update_gauges)
      : metrics(served),
        update(std::move(update_gauges)),
        server({&thread},
               endpoint,
               MetricsLimits(),
               [this](size_t /*thread*/,
                      const std::shared_ptr<transport::Exchange>& it) {
                 HandleRequest(*it);
               }) {}

  void HandleRequest(transport::Exchange& exchange) const {
    if (!IsMetricsRequest(exchange.request())) {
      exchange.Respond(transport::Response(http::status::not_found, 11));
      return;
    }
    update();
    transport::Response response(http::status::ok, 11);
    response.set(http::field::content_type,
                 std::string(telemetry::kMetricsContentType));
    response.body() = telemetry::RenderMetrics(metrics);
    exchange.Respond(std::move(response));
  }

  const telemetry::Metrics& metrics;
  const std::function<void()> update;
  transport::WebServer server;
};

MetricsServer::MetricsServer(transport::IoThread& thread,
                             const transport::Endpoint& endpoint,
                             const telemetry::Metrics& metrics,
                             std::function<void()> update)
    : impl_(std::make_unique<Impl>(thread,
                                   endpoint,
                                   metrics,
                                   std::move(update))) {}

MetricsServer::~MetricsServer() = default;

}  // namespace gooseberryrock::monitoring
