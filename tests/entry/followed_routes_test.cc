// Tests the text that a node follows and the differences applied to it.

#include "followed_routes.h"

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/text_difference.h"
#include "peer.pb.h"

namespace gooseberryrock::entry {
namespace {

const std::string kOld(1000, 'a');
const std::string kNew = kOld + "b";

proto::EntryPollReply Difference() {
  proto::EntryPollReply reply;
  auto& message = *reply.mutable_route_difference();
  message.set_version(6);
  message.set_from_version(5);
  message.set_difference(routes::MakeTextDifference(kOld, kNew));
  message.set_text_hash(Hash64(kNew));
  return reply;
}

// Guards against routes that differ from the stored ones.
TEST(FollowedRoutesTest, WholeTextAndDifference) {
  proto::EntryPollReply reply;
  EXPECT_EQ(RoutesVersion(reply), 0U);
  reply.mutable_routes()->set_version(5);
  reply.mutable_routes()->set_compressed_text(routes::CompressText(kOld));
  FollowedText followed = ReadText({}, reply);
  EXPECT_EQ(followed.version, 5U);
  EXPECT_EQ(followed.text, kOld);
  EXPECT_EQ(RoutesVersion(Difference()), 6U);
  followed = ReadText(followed, Difference());
  EXPECT_EQ(followed.version, 6U);
  EXPECT_EQ(followed.text, kNew);
  EXPECT_EQ(followed.hash, Hash64(kNew));
}

// Guards against applying a difference to another version or another text, and
// against a damaged one.
TEST(FollowedRoutesTest, UnsuitableDifferencesAreReported) {
  const FollowedText followed{5, kOld, Hash64(kOld)};
  EXPECT_THROW(ReadText({4, kOld, Hash64(kOld)}, Difference()),
               routes::RouteError);
  const std::string other(1000, 'c');
  EXPECT_THROW(ReadText({5, other, Hash64(other)}, Difference()),
               routes::RouteError);
  auto reply = Difference();
  reply.mutable_route_difference()->set_text_hash(0);
  EXPECT_THROW(ReadText(followed, reply), routes::RouteError);
  reply = Difference();
  reply.mutable_route_difference()->set_difference("damaged");
  EXPECT_THROW(ReadText(followed, reply), routes::RouteError);
  EXPECT_NO_THROW(ReadText(followed, Difference()));
}

}  // namespace
}  // namespace gooseberryrock::entry
