// Conversion of consensus types to and from protobuf messages.

#include "gooseberryrock/proto/convert_consensus.h"

#include <gtest/gtest.h>

#include "consensus.pb.h"
#include "gooseberryrock/consensus/message.h"
#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::proto {
namespace {

// Guards against fields that are lost when encoding for the network or disk.
TEST(ConvertConsensusTest, MessagesKeepAllFields) {
  const consensus::Membership membership = {
      {{{"b"}, {"disk", "address", true}}, {{"a"}, {"other", "", false}}}};
  const consensus::MessageBody bodies[] = {
      consensus::VoteRequest{true, true, {1, 2}, {3, 4}, {5, 6}},
      consensus::VoteReply{true, true, 1, {2, 3}, {4, 5}},
      consensus::AppendRequest{
          {1, 2},
          {{{1, 3}, consensus::EntryKind::kCommand, "payload", {}},
           {{1, 4}, consensus::EntryKind::kMembership, "", membership},
           {{1, 5}, consensus::EntryKind::kNoOp, "", {}}},
          6,
          7,
          {{"disk", {8, 9}}}},
      consensus::AppendReply{true, 1, 2},
      consensus::SnapshotRequest{{1, 2}, membership, 3, 4, "chunk", 5},
      consensus::SnapshotReply{{1, 2}, 3, true, 4},
      consensus::TimeoutNow{}};
  for (const consensus::MessageBody& body : bodies) {
    const consensus::Message message = {{"a"}, {"b"}, 1, "x", "y", true, body};
    ConsensusMessage decoded;
    ASSERT_TRUE(
        decoded.ParseFromString(ToMessage(message).SerializeAsString()));
    EXPECT_TRUE(FromMessage(decoded) == message) << body.index();
  }
  const consensus::HardState hard_state = {1, {"a"}, {2, 3}, 4, true};
  EXPECT_TRUE(FromMessage(ToMessage(hard_state)) == hard_state);
  EXPECT_TRUE(DecodeMembership(EncodeMembership(membership)) == membership);
}

// Guards against malformed messages that are misinterpreted or crash the
// process.
TEST(ConvertConsensusTest, IncompleteMessagesAreRefused) {
  EXPECT_THROW(FromMessage(ConsensusMessage()), MalformedMessageError);
  EXPECT_THROW(FromMessage(LogEntry()), MalformedMessageError);
  EXPECT_THROW(DecodeMembership("\xff"), MalformedMessageError);
}

}  // namespace
}  // namespace gooseberryrock::proto
