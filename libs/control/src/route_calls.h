// Operator calls that read or replace the routes.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_

#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {

class ControlClient;
class ReplicatedLog;
struct ControlCodec;
struct PutRoutesCall;

struct RouteCallContext {
  const ControlCodec& codec;
  ControlClient& client;
  const ReplicatedLog& log;
  telemetry::Metrics& metrics;
};

// Both functions block on the replicated log for up to kCallTimeout.

// Validates the routes and stores them if they are newer than the stored ones.
transport::Response PutRoutes(RouteCallContext context,
                              const PutRoutesCall& call);

// Returns the latest routes, or the response `outcome_unknown` if they cannot
// be read reliably.
transport::Response ReadRoutes(RouteCallContext context);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CALLS_H_
