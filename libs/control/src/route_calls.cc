// Calls of operators on the routes.

#include "route_calls.h"

#include <chrono>
#include <string>
#include <utility>

#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/control_dialect.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/validate_routes.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

using telemetry::LogLevel;

// Callers go on to another VM after a second without an answer.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);

}  // namespace

transport::Response PutRoutes(RouteCallParts parts, const PutRoutesCall& call) {
  std::string problem;
  try {
    const auto problems =
        routes::ValidateRoutes(parts.dialect.read_routes(call.text));
    if (!problems.empty()) {
      problem =
          "route '" + problems.front().route + "': " + problems.front().detail;
    }
  } catch (const routes::RouteError& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    Increment(parts.metrics, telemetry::Counter::kRoutesRefused);
    telemetry::LogEvent(
        LogLevel::kWarning, "routes_refused",
        {{"version", std::to_string(call.version)}, {"error", problem}});
    return parts.dialect.invalid(problem);
  }
  proto::ForwardRequest request;
  auto& document = *request.mutable_put_routes()->mutable_document();
  document.set_version(call.version);
  document.set_compressed_text(routes::CompressText(call.text));
  const CallResult result = parts.client.Call(std::move(request), kCallTimeout);
  const bool stored =
      result.status == CallStatus::kDone && result.reply.has_put_routes();
  if (stored) {
    Increment(parts.metrics, telemetry::Counter::kRoutesStored);
  }
  telemetry::LogEvent(
      stored ? LogLevel::kInfo : LogLevel::kWarning,
      stored ? "routes_stored" : "routes_unclear",
      {{"version", std::to_string(call.version)},
       {"newest", std::to_string(result.reply.put_routes().version())},
       {"leader", parts.log.Status().leader.value}});
  return stored ? parts.dialect.accepted() : parts.dialect.unclear();
}

transport::Response ReadRoutes(RouteCallParts parts) {
  proto::ForwardRequest request;
  request.mutable_read_routes();
  const CallResult result = parts.client.Call(std::move(request), kCallTimeout);
  if (result.status != CallStatus::kDone || !result.reply.has_routes() ||
      result.reply.routes().version() == 0) {
    telemetry::LogEvent(LogLevel::kWarning, "routes_read_unclear",
                        {{"leader", parts.log.Status().leader.value}});
    return parts.dialect.unclear();
  }
  return parts.dialect.routes(
      routes::DecompressText(result.reply.routes().compressed_text()));
}

}  // namespace gooseberryrock::control
