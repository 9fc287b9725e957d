// Tests the messages between entry nodes when one gathers for another.

#include "gather_messages.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace gooseberryrock::entry {
namespace {

using std::chrono::microseconds;

transport::Request MakeCall(const GatherCall& call) {
  transport::Request request(boost::beast::http::verb::get, "/a/", 11);
  request.set("User-Agent", "caller");
  SetGatherCall(request, call);
  return request;
}

// Guards against a call that reaches the servers with fields of entry nodes,
// and against shards that change on the way.
TEST(GatherMessagesTest, CallIsReadAndItsFieldsAreRemoved) {
  const GatherCall call = {
      microseconds(1500), 1ULL << 63U, 2, {0, 1, 2, 5, 7, 8}, {"org"}};
  transport::Request request = MakeCall(call);
  const auto read = TakeGatherCall(request);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->elapsed, call.elapsed);
  EXPECT_EQ(read->routes_version, call.routes_version);
  EXPECT_EQ(read->attempts, 2U);
  EXPECT_EQ(read->shards, call.shards);
  EXPECT_EQ(read->organisation, call.organisation);
  EXPECT_EQ(std::distance(request.begin(), request.end()), 1);
}

// Guards against a caller without an organisation that names one itself in the
// field between nodes.
TEST(GatherMessagesTest, OrganisationOfCallerIsNotTakenOver) {
  transport::Request request(boost::beast::http::verb::get, "/a/", 11);
  request.set("Gbr-Gather-Organisation", "forged");
  SetGatherCall(request, {microseconds(1), 1, 1, {0}, {}});
  const auto read = TakeGatherCall(request);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->organisation.empty());
}

// Guards against memory for shards that no route has, and against a call that
// is read with a part of its fields.
TEST(GatherMessagesTest, MalformedCallsAreRefused) {
  for (const auto& [field, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Gbr-Gather-Shards", ""},
           {"Gbr-Gather-Shards", "3-1"},
           {"Gbr-Gather-Shards", "1,1"},
           {"Gbr-Gather-Shards", "2,1"},
           {"Gbr-Gather-Shards", "0-4294967295"},
           {"Gbr-Gather-Shards", "0-18446744073709551615"},
           {"Gbr-Gather-Shards", "1,"},
           {"Gbr-Gather-Shards", "1 2"},
           {"Gbr-Gather-Shards", "-1"},
           {"Gbr-Gather-Attempts", "0"},
           {"Gbr-Gather-Attempts", "99999"},
           {"Gbr-Gather-Attempts", "1.5"},
           {"Gbr-Gather-Elapsed-Us", "-5"},
           {"Gbr-Gather-Elapsed-Us", "99999999999999999999"},
           {"Gbr-Gather-Routes-Version", ""}}) {
    transport::Request request = MakeCall({microseconds(1), 1, 1, {0}, {}});
    request.set(field, value);
    EXPECT_FALSE(TakeGatherCall(request)) << field << ": " << value;
    request = MakeCall({microseconds(1), 1, 1, {0}, {}});
    request.insert(field, value);
    EXPECT_FALSE(TakeGatherCall(request)) << "two fields " << field;
    request = MakeCall({microseconds(1), 1, 1, {0}, {}});
    request.erase(field);
    EXPECT_FALSE(TakeGatherCall(request)) << "without " << field;
  }
}

// Guards against records or digests that change on the way, in the final reply
// and in the progress before it.
TEST(GatherMessagesTest, AnswerAndProgressAreRead) {
  relay::GatheredOutcome outcome;
  outcome.digests = {"d1", "d,2"};
  outcome.body = std::string(16, '\0') + std::string(16, '\xff');
  const relay::ServerReply reply = ReadGatherReply(EncodeGatherReply(outcome));
  EXPECT_EQ(reply.kind, relay::ReplyKind::kSuccess);
  EXPECT_EQ(reply.digests, outcome.digests);
  EXPECT_EQ(reply.body, outcome.body);
  const std::string field = EncodeGatherProgress(outcome);
  const size_t colon = field.find(": ");
  ASSERT_NE(colon, std::string::npos);
  transport::Response interim;
  interim.set(field.substr(0, colon),
              field.substr(colon + 2, field.size() - colon - 4));
  const auto progress = ReadGatherProgress(interim);
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->digests, outcome.digests);
  EXPECT_EQ(progress->body, outcome.body);
  EXPECT_FALSE(ReadGatherProgress(transport::Response()));
}

// Guards against a header that the other node refuses to read.
TEST(GatherMessagesTest, LongProgressIsNotSent) {
  relay::GatheredOutcome outcome;
  outcome.digests.assign(410, std::string(30, 'd'));
  EXPECT_EQ(EncodeGatherProgress(outcome), "");
}

// Guards against taking a refusal for an answer, and one reason for another.
TEST(GatherMessagesTest, RefusalsAreRead) {
  const auto read = [](GatherRefusal refusal) {
    return ReadGatherReply(EncodeGatherRefusal(refusal));
  };
  EXPECT_EQ(read(GatherRefusal::kFailed).kind, relay::ReplyKind::kFailure);
  EXPECT_EQ(read(GatherRefusal::kTryAnotherNode).kind,
            relay::ReplyKind::kNotRun);
  EXPECT_FALSE(read(GatherRefusal::kTryAnotherNode).rest);
  EXPECT_EQ(read(GatherRefusal::kStopping).kind, relay::ReplyKind::kNotRun);
  EXPECT_TRUE(read(GatherRefusal::kStopping).rest);
  EXPECT_EQ(ReadGatherReply(
                transport::Response(boost::beast::http::status::not_found, 11))
                .kind,
            relay::ReplyKind::kUnusable);
}

// Guards against bytes that end the process or read as an answer without
// digests and records; plays random ones.
TEST(GatherMessagesTest, RandomBytesAreHandled) {
  std::mt19937_64 random(1);
  for (int n = 0; n < 20000; ++n) {
    std::string bytes(random() % 40, '\0');
    for (char& it : bytes) {
      it = static_cast<char>(random());
    }
    transport::Response response(boost::beast::http::status::ok, 11);
    response.body() = bytes;
    ReadGatherReply(response);
    transport::Response interim;
    interim.set("Gbr-Gather-Progress", bytes);
    ReadGatherProgress(interim);
    transport::Request request = MakeCall({microseconds(1), 1, 1, {0}, {}});
    request.set("Gbr-Gather-Shards", bytes);
    TakeGatherCall(request);
  }
}

}  // namespace
}  // namespace gooseberryrock::entry
