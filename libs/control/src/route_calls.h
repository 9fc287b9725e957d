// Calls of operators on the routes.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_

#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {

class ControlClient;
class ReplicatedLog;
struct ControlDialect;
struct PutRoutesCall;

struct RouteCallParts {
  const ControlDialect& dialect;
  ControlClient& client;
  const ReplicatedLog& log;
  telemetry::Metrics& metrics;
};

// Both wait for the replicated log, for up to kCallTimeout.

// Stores the routes when they are valid and newer than the stored ones.
transport::Response PutRoutes(RouteCallParts parts, const PutRoutesCall& call);

// The newest routes, or "unclear" when this VM cannot be sure of them.
transport::Response ReadRoutes(RouteCallParts parts);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_
