// The text of the routes that this node follows.

#include "followed_routes.h"

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/text_difference.h"
#include "peer.pb.h"

namespace gooseberryrock::entry {

uint64_t RoutesVersion(const proto::EntryPollReply& reply) {
  return reply.has_route_difference() ? reply.route_difference().version()
                                      : reply.routes().version();
}

FollowedText ReadText(const FollowedText& followed,
                      const proto::EntryPollReply& reply) {
  FollowedText next;
  next.version = RoutesVersion(reply);
  if (!reply.has_route_difference()) {
    next.text = routes::DecompressText(reply.routes().compressed_text());
    next.hash = Hash64(next.text);
    return next;
  }
  const proto::RouteDifference& message = reply.route_difference();
  if (message.from_version() == followed.version) {
    next.text =
        routes::ApplyTextDifference(followed.text, message.difference());
    next.hash = Hash64(next.text);
  }
  if (next.hash == 0 || next.hash != message.text_hash()) {
    throw routes::RouteError({routes::RouteProblemKind::kMalformed, "",
                              "the difference leads to another text"});
  }
  return next;
}

}  // namespace gooseberryrock::entry
