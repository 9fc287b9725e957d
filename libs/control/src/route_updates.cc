// Brings the routes of entry nodes up to date.

#include "route_updates.h"

#include <string>

#include "gooseberryrock/control/control_machine.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

void RouteUpdates::OnStored(const StoredRoutes& stored) {
  if (stored.version == 0) {
    return;
  }
  std::lock_guard lock(mutex_);
  KeepText(recent_, stored.version, stored.compressed_text);
}

uint64_t RouteUpdates::Version() const {
  std::lock_guard lock(mutex_);
  return recent_.texts.empty() ? 0 : recent_.texts.back().version;
}

void RouteUpdates::AnswerPoll(const proto::EntryPoll& poll,
                              proto::EntryPollReply& reply) {
  std::lock_guard lock(mutex_);
  if (recent_.texts.empty() ||
      recent_.texts.back().version <= poll.routes_version()) {
    return;
  }
  const routes::RecentText& newest = recent_.texts.back();
  const std::string* difference =
      FindDifference(recent_, poll.routes_version(), poll.routes_text_hash());
  if (difference == nullptr) {
    reply.mutable_routes()->set_version(newest.version);
    reply.mutable_routes()->set_compressed_text(newest.compressed_text);
    return;
  }
  proto::RouteDifference& message = *reply.mutable_route_difference();
  message.set_version(newest.version);
  message.set_from_version(poll.routes_version());
  message.set_difference(*difference);
  message.set_text_hash(NewestHash(recent_));
}

}  // namespace gooseberryrock::control
