// Functions that encode and decode the messages of callers and backend servers.
// An entry node uses only this interface, so another encoding can replace it.

#ifndef GOOSEBERRYROCK_ENTRY_ENTRY_CODEC_H_
#define GOOSEBERRYROCK_ENTRY_ENTRY_CODEC_H_

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

struct EntryCodec {
  CallerRequest (*parse_request)(const transport::Request& request);
  // Removes the fields of the caller that must not reach a server: its key, and
  // the name of an organisation.
  void (*remove_caller_fields)(transport::Request& request);
  // Sets the server id, the remaining time and the organisation of the caller,
  // if there is one, in the request.
  void (*set_attempt_fields)(transport::Request& request,
                             const BackendServerId& server,
                             Duration time_left,
                             const OrganisationName& organisation);
  // Leaves the body in `response`.
  relay::ServerReply (*parse_reply)(const transport::Response& response);
  // Returns the id of the request that the reply belongs to; empty if the reply
  // contains none.
  std::string (*reply_request_id)(const transport::Response& response);

  transport::Response (*encode_gathered)(relay::GatheredOutcome outcome);
  transport::Response (*encode_refused)(const relay::RefusedOutcome& outcome);
  transport::Response (*encode_failed)(const relay::FailedOutcome& outcome);
  // The response to a request without a matching route.
  transport::Response (*encode_no_route)();
  // The response to a request without a known key.
  transport::Response (*encode_no_access)();
  // The response to a request beyond the allotment of its organisation, which
  // was not run.
  transport::Response (*encode_over_allotment)(Duration retry_after);
  // Whether the request is a health check of the load balancer.
  bool (*is_ready_check)(const transport::Request& request);

  // Throws RouteError.
  routes::RouteSet (*parse_routes)(std::string_view text);
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_ENTRY_CODEC_H_
