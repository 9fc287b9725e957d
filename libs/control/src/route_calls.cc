// Operator calls that read or replace the routes.

#include "route_calls.h"

#include <chrono>
#include <string>
#include <utility>

#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/control_codec.h"
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

// Below the 1 s after which callers retry at another VM.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);

}  // namespace

transport::Response PutRoutes(RouteCallContext context,
                              const PutRoutesCall& call) {
  std::string problem;
  try {
    const auto problems =
        routes::ValidateRoutes(context.codec.parse_routes(call.text));
    for (const routes::RouteProblem& it : problems) {
      problem += (problem.empty() ? "" : "; ") + routes::Describe(it);
    }
  } catch (const routes::RouteError& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    Increment(context.metrics, telemetry::Counter::kRoutesRefused);
    telemetry::LogEvent(
        LogLevel::kWarning, "routes_refused",
        {{"version", std::to_string(call.version)}, {"error", problem}});
    return context.codec.encode_invalid(problem);
  }
  proto::ForwardRequest request;
  auto& document = *request.mutable_put_routes()->mutable_document();
  document.set_version(call.version);
  document.set_compressed_text(routes::CompressText(call.text));
  const CallResult result =
      context.client.Call(std::move(request), kCallTimeout);
  const bool stored =
      result.status == CallStatus::kDone && result.reply.has_put_routes();
  if (stored) {
    Increment(context.metrics, telemetry::Counter::kRoutesStored);
  }
  telemetry::LogEvent(
      stored ? LogLevel::kInfo : LogLevel::kWarning,
      stored ? "routes_stored" : "routes_unclear",
      {{"version", std::to_string(call.version)},
       {"newest", std::to_string(result.reply.put_routes().version())},
       {"leader", context.log.Status().leader.value}});
  return stored ? context.codec.encode_accepted()
                : context.codec.encode_outcome_unknown();
}

transport::Response ReadRoutes(RouteCallContext context) {
  proto::ForwardRequest request;
  request.mutable_read_routes();
  const CallResult result =
      context.client.Call(std::move(request), kCallTimeout);
  if (result.status != CallStatus::kDone || !result.reply.has_routes() ||
      result.reply.routes().version() == 0) {
    telemetry::LogEvent(LogLevel::kWarning, "routes_read_unclear",
                        {{"leader", context.log.Status().leader.value}});
    return context.codec.encode_outcome_unknown();
  }
  return context.codec.encode_routes(
      routes::DecompressText(result.reply.routes().compressed_text()));
}

}  // namespace gooseberryrock::control
