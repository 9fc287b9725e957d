// Tests decoding and encoding of requests and replies in the platform's format.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "gooseberryrock/entry/dialect.h"
#include "gooseberryrock/platform/entry_dialect.h"

namespace gooseberryrock::platform {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using transport::Request;
using transport::Response;

const entry::Dialect& Dialect() {
  return EntryDialect();
}

// Guards against a request whose id, host or deadline is decoded wrongly.
TEST(EntryDialectTest, ReadsRequests) {
  Request request(http::verb::get, "/a/", 11);
  request.set("Host", "host.example:8080");
  request.set("X-Request-Id", "id");
  request.set("X-Deadline-Ms", "1200");
  const auto caller = Dialect().read_request(request);
  EXPECT_EQ(caller.id, "id");
  EXPECT_EQ(caller.host, "host.example");
  EXPECT_EQ(caller.patience, milliseconds(1200));
  for (const char* text : {"", "x", "12x", "-5", "99999999999999"}) {
    request.set("X-Deadline-Ms", text);
    EXPECT_FALSE(Dialect().read_request(request).patience) << text;
  }
}

// Guards against an attempt that carries the caller's original deadline or a
// deadline of zero.
TEST(EntryDialectTest, SetsAttemptHeaders) {
  Request request(http::verb::get, "/a/", 11);
  request.set("X-Deadline-Ms", "1200");
  request.set("X-Target-Instance", "of the caller");
  Dialect().address_request(request, {"i-1"}, milliseconds(800));
  EXPECT_EQ(request["X-Deadline-Ms"], "800");
  EXPECT_EQ(request["X-Target-Instance"], "i-1");
  Dialect().address_request(request, {"i-1"}, milliseconds(-3));
  EXPECT_EQ(request["X-Deadline-Ms"], "1");
}

relay::ServerReply DecodeReply(http::status status,
                               const std::string& field = "",
                               const std::string& value = "") {
  Response response(status, 11);
  if (!field.empty()) {
    response.set(field, value);
  }
  return Dialect().read_reply(response);
}

// Guards against a failure that is classified as a success, and against a reply
// that is classified as "not run" although the server did not say so.
TEST(EntryDialectTest, ReadsReplies) {
  using relay::ReplyKind;
  EXPECT_EQ(DecodeReply(http::status::ok, "X-Server-Stamp", "s").kind,
            ReplyKind::kSuccess);
  EXPECT_EQ(DecodeReply(http::status::ok).kind, ReplyKind::kUnusable);
  EXPECT_EQ(DecodeReply(http::status::service_unavailable).kind,
            ReplyKind::kFailure);
  EXPECT_EQ(
      DecodeReply(http::status::service_unavailable, "X-Not-Executed", "1")
          .kind,
      ReplyKind::kNotRun);
  EXPECT_EQ(DecodeReply(http::status::misdirected_request).kind,
            ReplyKind::kOtherServer);
  EXPECT_EQ(
      DecodeReply(http::status::internal_server_error, "X-Server-Stamp", "s")
          .kind,
      ReplyKind::kFailure);
  EXPECT_EQ(DecodeReply(http::status::ok, "X-Server-Load", "3,2,8").load, 5U);
  for (const char* text : {"", "3", "3,", ",2,8", "a,b,c"}) {
    EXPECT_FALSE(DecodeReply(http::status::ok, "X-Server-Load", text).load)
        << text;
  }
}

// Guards against a partial answer without the number of missing shards, and a
// refusal without Retry-After.
TEST(EntryDialectTest, EncodesAnswers) {
  const Response gathered =
      Dialect().gathered({"records", {"d1", "d2"}, 3, true});
  EXPECT_EQ(gathered["X-Part-Stamps"], "d1, d2");
  EXPECT_EQ(gathered["X-Missing-Parts"], "3");
  EXPECT_EQ(gathered.body(), "records");
  const Response refused =
      Dialect().refused({relay::RefusalReason::kOverloaded, milliseconds(250)});
  EXPECT_EQ(refused.result(), http::status::service_unavailable);
  EXPECT_EQ(refused["Retry-After"], "0.250");
  EXPECT_EQ(Dialect().failed({relay::FailureReason::kTimeout}).result(),
            http::status::gateway_timeout);
  EXPECT_EQ(Dialect().failed({relay::FailureReason::kConnectionLost}).result(),
            http::status::bad_gateway);
}

}  // namespace
}  // namespace gooseberryrock::platform
