// Tests how control VMs bring the routes of entry nodes up to date.

#include "route_updates.h"

#include <gtest/gtest.h>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/text_difference.h"
#include "peer.pb.h"
#include "route_text.h"

namespace gooseberryrock::control {
namespace {

std::string Text(uint64_t version) {
  return MakeRouteText(kTextServices, 0, version);
}

proto::EntryPollReply Answer(RouteUpdates& updates,
                             uint64_t version,
                             uint64_t hash) {
  proto::EntryPoll poll;
  poll.set_routes_version(version);
  poll.set_routes_text_hash(hash);
  proto::EntryPollReply reply;
  updates.AnswerPoll(poll, reply);
  return reply;
}

// Guards against a change that does not reach a node with its next poll, and
// against routes sent to a node that has them or newer ones.
TEST(RouteUpdatesTest, NodesGetWhatTheyLack) {
  RouteUpdates updates;
  EXPECT_EQ(Answer(updates, 0, 0).ByteSizeLong(), 0U);
  updates.OnStored({});
  EXPECT_EQ(updates.Version(), 0U);
  updates.OnStored({5, routes::CompressText(Text(5))});
  updates.OnStored({6, routes::CompressText(Text(6))});
  EXPECT_EQ(updates.Version(), 6U);
  EXPECT_EQ(Answer(updates, 6, Hash64(Text(6))).ByteSizeLong(), 0U);
  EXPECT_EQ(Answer(updates, 7, Hash64(Text(7))).ByteSizeLong(), 0U);
  const auto reply = Answer(updates, 5, Hash64(Text(5)));
  EXPECT_FALSE(reply.has_routes());
  EXPECT_EQ(reply.route_difference().version(), 6U);
  EXPECT_EQ(reply.route_difference().text_hash(), Hash64(Text(6)));
  EXPECT_EQ(routes::ApplyTextDifference(Text(5),
                                        reply.route_difference().difference()),
            Text(6));
}

// Guards against a node that is stuck after a difference did not fit, and
// against nodes of an earlier release, which name no hash.
TEST(RouteUpdatesTest, WholeDocumentWithoutKnownText) {
  RouteUpdates updates;
  updates.OnStored({5, routes::CompressText(Text(5))});
  updates.OnStored({6, routes::CompressText(Text(6))});
  for (const auto& reply :
       {Answer(updates, 5, 0), Answer(updates, 5, Hash64(Text(4))),
        Answer(updates, 0, 0), Answer(updates, 4, Hash64(Text(4)))}) {
    EXPECT_FALSE(reply.has_route_difference());
    EXPECT_EQ(reply.routes().version(), 6U);
    EXPECT_EQ(routes::DecompressText(reply.routes().compressed_text()),
              Text(6));
  }
}

// Guards against an older document that replaces a newer one while the log is
// read again.
TEST(RouteUpdatesTest, OlderVersionsAreIgnored) {
  RouteUpdates updates;
  updates.OnStored({6, routes::CompressText(Text(6))});
  updates.OnStored({5, routes::CompressText(Text(5))});
  EXPECT_EQ(updates.Version(), 6U);
}

}  // namespace
}  // namespace gooseberryrock::control
