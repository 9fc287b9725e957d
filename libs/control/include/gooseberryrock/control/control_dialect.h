// The encoding of calls on a control VM, as functions.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_DIALECT_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_DIALECT_H_

#include <optional>
#include <string>
#include <string_view>

#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/routes/route_set.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::control {

struct ControlDialect {
  ControlCall (*read_call)(const transport::Request& request);
  // Throws RouteError.
  routes::RouteSet (*read_routes)(std::string_view text);

  // Acknowledges an announcement; the server's next ones should go to `next`.
  transport::Response (*announced)(
      const std::optional<transport::Endpoint>& next);
  transport::Response (*accepted)();
  transport::Response (*routes)(std::string text);
  // The call is invalid and changed nothing.
  transport::Response (*invalid)(std::string_view error);
  // The call may or may not have been carried out, or was not: send it again.
  transport::Response (*unclear)();
  transport::Response (*unknown)();
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_DIALECT_H_
