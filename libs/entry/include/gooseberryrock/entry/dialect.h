// The encoding of what callers and backend servers send, as functions. An entry
// node decides without knowing it, so that another one can take its place.

#ifndef GOOSEBERRYROCK_ENTRY_DIALECT_H_
#define GOOSEBERRYROCK_ENTRY_DIALECT_H_

#include <string>
#include <string_view>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/relay/outcome.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/routes/route_set.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::entry {

struct Dialect {
  CallerRequest (*read_request)(const transport::Request& request);
  // Names the server that the request is for and the time that is left for it.
  void (*address_request)(transport::Request& request,
                          const BackendServerId& server,
                          Duration time_left);
  // The body stays in `response`.
  relay::ServerReply (*read_reply)(const transport::Response& response);
  // The id of the request that the reply answers; empty when it names none.
  std::string (*reply_request_id)(const transport::Response& response);

  transport::Response (*gathered)(relay::GatheredOutcome outcome);
  transport::Response (*refused)(const relay::RefusedOutcome& outcome);
  transport::Response (*failed)(const relay::FailedOutcome& outcome);
  // No route leads to the request's place.
  transport::Response (*no_route)();
  // Whether the request is the balancer's check.
  bool (*is_ready_check)(const transport::Request& request);

  // Throws RouteError.
  routes::RouteSet (*read_routes)(std::string_view text);
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_DIALECT_H_
