// Encoding and decoding functions for API calls to a control VM.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_CODEC_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/routes/route_set.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::control {

struct ControlCodec {
  ControlCall (*parse_call)(const transport::Request& request);
  // Throws RouteError.
  routes::RouteSet (*parse_routes)(std::string_view text);

  // Acknowledges an announcement. If set, `next` is the endpoint for further
  // announcements of this server.
  transport::Response (*encode_announced)(
      const std::optional<transport::Endpoint>& next);
  transport::Response (*encode_accepted)();
  transport::Response (*encode_routes)(std::string text);
  // The call is invalid and had no effect.
  transport::Response (*encode_invalid)(std::string_view error);
  // The outcome is unknown or the call was not executed; the caller should
  // retry.
  transport::Response (*encode_outcome_unknown)();
  transport::Response (*encode_unknown)();
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_CODEC_H_
