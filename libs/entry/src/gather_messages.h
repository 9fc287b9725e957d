// Messages between entry nodes when one gathers for another. A call is the
// caller's request with the fields below; a reply has a GatherReply as its
// body.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_GATHER_MESSAGES_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_GATHER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/outcome.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::entry {

struct GatherCall {
  // Time since the first node received the request.
  Duration elapsed = Duration::zero();
  // Version of the routes that the request was admitted with. The answer must
  // follow the same version, or a caller could see an older one after a newer
  // one.
  uint64_t routes_version = 0;
  // Maximum number of servers of each shard that the request may be sent to.
  uint32_t attempts = 1;
  // Indexes into the shards of the route, ascending.
  std::vector<uint32_t> shards;
  // Of the caller, whose key stays at the first node; empty if the route needs
  // no key.
  OrganisationName organisation;
};

// How a gathering node ended a request without an answer.
enum class GatherRefusal {
  // Another node would fare the same.
  kFailed,
  // Not run, for a reason of this node.
  kTryAnotherNode,
  // The same, and the node wants no requests for a while.
  kStopping,
};

void SetGatherCall(transport::Request& request, const GatherCall& call);

// Removes the fields from the request. Returns nullopt if they are missing or
// malformed.
std::optional<GatherCall> TakeGatherCall(transport::Request& request);

transport::Response EncodeGatherRefusal(GatherRefusal refusal);
transport::Response EncodeGatherReply(const relay::GatheredOutcome& outcome);
relay::ServerReply ReadGatherReply(const transport::Response& response);

// The header field of an interim response with the progress of a request; empty
// if it does not fit into a header.
std::string EncodeGatherProgress(const relay::GatheredOutcome& progress);
// Returns nullopt if the interim response only acknowledges the request, or
// cannot be read.
std::optional<relay::ServerReply> ReadGatherProgress(
    const transport::Response& interim);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_GATHER_MESSAGES_H_
