// Tests decoding and encoding of requests and replies in the platform's format.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <vector>

#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/organisations/key_hash.h"
#include "gooseberryrock/platform/entry_codec.h"

namespace gooseberryrock::platform {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using transport::Request;
using transport::Response;

const entry::EntryCodec& Codec() {
  return GetEntryCodec();
}

// Guards against a request whose id, host or deadline is decoded wrongly.
TEST(EntryCodecTest, ReadsRequests) {
  Request request(http::verb::get, "/a/", 11);
  request.set("Host", "host.example:8080");
  request.set("X-Request-Id", "id");
  request.set("X-Deadline-Ms", "1200");
  const auto caller = Codec().parse_request(request);
  EXPECT_EQ(caller.id, "id");
  EXPECT_EQ(caller.host, "host.example");
  EXPECT_EQ(caller.timeout, milliseconds(1200));
  for (const char* text : {"", "x", "12x", "-5", "99999999999999"}) {
    request.set("X-Deadline-Ms", text);
    EXPECT_FALSE(Codec().parse_request(request).timeout) << text;
  }
}

// Guards against an attempt that carries the caller's original deadline or a
// deadline of zero.
TEST(EntryCodecTest, SetsAttemptHeaders) {
  Request request(http::verb::get, "/a/", 11);
  request.set("X-Deadline-Ms", "1200");
  request.set("X-Target-Instance", "of the caller");
  Codec().set_attempt_fields(request, {"i-1"}, milliseconds(800), {});
  EXPECT_EQ(request["X-Deadline-Ms"], "800");
  EXPECT_EQ(request["X-Target-Instance"], "i-1");
  Codec().set_attempt_fields(request, {"i-1"}, milliseconds(-3), {});
  EXPECT_EQ(request["X-Deadline-Ms"], "1");
  EXPECT_EQ(request.count("X-Tenant"), 0U);
}

// Guards against a server that receives the key of a caller, or the name of an
// organisation that the caller chose.
TEST(EntryCodecTest, ReplacesKeyByOrganisation) {
  Request request(http::verb::get, "/a/", 11);
  request.insert("X-Key", "secret");
  request.insert("X-Tenant", "forged");
  request.insert("X-Tenant", "forged as well");
  EXPECT_EQ(Codec().parse_request(request).key,
            organisations::HashKey("secret"));
  Codec().remove_caller_fields(request);
  EXPECT_EQ(std::distance(request.begin(), request.end()), 0);
  EXPECT_FALSE(Codec().parse_request(request).key);
  Codec().set_attempt_fields(request, {"i-1"}, milliseconds(5), {"org"});
  EXPECT_EQ(request["X-Tenant"], "org");
  EXPECT_EQ(request.count("X-Tenant"), 1U);
  request.insert("X-Key", "one");
  request.insert("X-Key", "two");
  EXPECT_FALSE(Codec().parse_request(request).key);
}

relay::ServerReply DecodeReply(http::status status,
                               const std::string& field = "",
                               const std::string& value = "") {
  Response response(status, 11);
  if (!field.empty()) {
    response.set(field, value);
  }
  return Codec().parse_reply(response);
}

// Guards against a failure that is classified as a success, and against a reply
// that is classified as "not run" or forwarded as such although the server did
// not say so.
TEST(EntryCodecTest, ReadsReplies) {
  using relay::ReplyKind;
  EXPECT_EQ(DecodeReply(http::status::ok, "X-Server-Stamp", "s").kind,
            ReplyKind::kSuccess);
  EXPECT_EQ(DecodeReply(http::status::ok).kind, ReplyKind::kUnusable);
  for (const http::status status :
       {http::status::request_timeout, http::status::too_many_requests,
        http::status::service_unavailable}) {
    EXPECT_EQ(DecodeReply(status).kind, ReplyKind::kUnusable) << status;
    EXPECT_EQ(DecodeReply(status, "X-Server-Stamp", "s").kind,
              ReplyKind::kUnusable)
        << status;
    EXPECT_EQ(DecodeReply(status, "X-Not-Executed", "1").kind,
              ReplyKind::kNotRun)
        << status;
  }
  EXPECT_EQ(DecodeReply(http::status::misdirected_request).kind,
            ReplyKind::kOtherServer);
  EXPECT_EQ(
      DecodeReply(http::status::internal_server_error, "X-Server-Stamp", "s")
          .kind,
      ReplyKind::kFailure);
}

// Guards against a statement about load that is misread: a server could attract
// work, or be avoided, by one wrong reply.
TEST(EntryCodecTest, ReadsLoad) {
  const auto decode = [](const std::string& value) {
    return DecodeReply(http::status::ok, "X-Server-Load", value);
  };
  const auto three = decode("3,2,8").load;
  ASSERT_TRUE(three);
  EXPECT_EQ(three->running, 3U);
  EXPECT_EQ(three->waiting, 2U);
  EXPECT_EQ(three->slots, 8U);
  EXPECT_FALSE(three->slowness);
  EXPECT_FALSE(decode("3,2,8").has_malformed_load);
  EXPECT_EQ(decode("0,0,4,250").load.value().slowness, 2.5);
  for (const char* text :
       {"", "3", "3,", ",2,8", "a,b,c", "3,2", "3,2,8,", "3,2,8,x", "3,2,8,0",
        "3,2,8,-5", "3,2,8,nan", "3,2,8,10001", "3,2,8,99999999999",
        "4000000000,0,8", "3,2,8,100,1", "3,2,8,1.5", "3, 2,8"}) {
    EXPECT_FALSE(decode(text).load) << text;
    EXPECT_TRUE(decode(text).has_malformed_load) << text;
    EXPECT_FALSE(decode(text).has_malformed_statement) << text;
  }
  Response repeated(http::status::ok, 11);
  repeated.insert("X-Server-Load", "3,2,8");
  repeated.insert("X-Server-Load", "0,0,8");
  EXPECT_TRUE(Codec().parse_reply(repeated).has_malformed_load);
  EXPECT_FALSE(DecodeReply(http::status::ok).has_malformed_load);
}

// Guards against a limit that is misread: a server could be given up for hours
// by one wrong reply.
TEST(EntryCodecTest, ReadsRequestLimit) {
  const auto decode = [](const std::string& value) {
    return DecodeReply(http::status::ok, "Server-Limit", value);
  };
  EXPECT_EQ(decode("30.25").request_limit, 30.25);
  EXPECT_EQ(decode("0").request_limit, 0);
  EXPECT_FALSE(decode("7").has_malformed_statement);
  for (const char* text :
       {"", "-1", "a", "1e9", "inf", "nan", "0x10", "3,4", "5 6", "+5"}) {
    EXPECT_FALSE(decode(text).request_limit) << text;
    EXPECT_TRUE(decode(text).has_malformed_statement) << text;
  }
  Response repeated(http::status::ok, 11);
  repeated.insert("Server-Limit", "3");
  repeated.insert("Server-Limit", "4");
  EXPECT_TRUE(Codec().parse_reply(repeated).has_malformed_statement);
  const relay::ServerReply without = DecodeReply(http::status::ok);
  EXPECT_FALSE(without.request_limit);
  EXPECT_FALSE(without.has_malformed_statement);
}

// Guards against a notice that is misread: a server could be given up by one
// wrong reply, or get requests that it does not want.
TEST(EntryCodecTest, ReadsNotices) {
  EXPECT_TRUE(DecodeReply(http::status::ok, "Server-Leaving", "1").leaving);
  for (const char* text : {"0", "", "yes", "1, 1"}) {
    const auto reply = DecodeReply(http::status::ok, "Server-Leaving", text);
    EXPECT_FALSE(reply.leaving) << text;
    EXPECT_TRUE(reply.has_malformed_statement) << text;
  }
  const auto rest = [](const std::string& value) {
    return DecodeReply(http::status::service_unavailable, "Retry-After", value);
  };
  EXPECT_EQ(rest("2").rest, std::chrono::seconds(2));
  EXPECT_EQ(rest("0.25").rest, milliseconds(250));
  EXPECT_EQ(rest("999999999999").rest, std::chrono::seconds(1'000'000));
  for (const char* text :
       {"-1", "nan", "soon", "", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    EXPECT_FALSE(rest(text).rest) << text;
    EXPECT_TRUE(rest(text).has_malformed_statement) << text;
  }
  // Only a refusal asks for a rest.
  EXPECT_FALSE(DecodeReply(http::status::ok, "Retry-After", "2").rest);
}

// Guards against a partial answer without the number of missing shards, and a
// refusal without Retry-After.
TEST(EntryCodecTest, EncodesAnswers) {
  const Response gathered =
      Codec().encode_gathered({"records", {"d1", "d2"}, 3, true});
  EXPECT_EQ(gathered["X-Part-Stamps"], "d1, d2");
  EXPECT_EQ(gathered["X-Missing-Parts"], "3");
  EXPECT_EQ(gathered.body(), "records");
  const Response refused = Codec().encode_refused(
      {relay::RefusalReason::kOverloaded, milliseconds(250)});
  EXPECT_EQ(refused.result(), http::status::service_unavailable);
  EXPECT_EQ(refused["Retry-After"], "0.250");
  EXPECT_EQ(Codec().encode_failed({relay::FailureReason::kTimeout}).result(),
            http::status::gateway_timeout);
  EXPECT_EQ(
      Codec().encode_failed({relay::FailureReason::kConnectionLost}).result(),
      http::status::bad_gateway);
}

// Guards against a refusal that callers do not take for a promise that the
// request was not run, or that has no retry time.
TEST(EntryCodecTest, EncodesRequestsOverAllotment) {
  const Response response = Codec().encode_over_allotment(milliseconds(250));
  EXPECT_EQ(response.result(), http::status::too_many_requests);
  EXPECT_EQ(response["Retry-After"], "0.250");
}

// Guards against a field of digests that is too long for the parser, which
// throws on it, or for callers: a set of routes may name many shards, and a
// server may send a long digest.
TEST(EntryCodecTest, ManyDigestsAreDividedAmongFields) {
  std::vector<std::string> digests(2000, std::string(60, 'd'));
  digests.emplace_back(60000, 'e');
  const Response response = Codec().encode_gathered({"", digests, 0, true});
  std::string all;
  size_t longest = 0;
  for (const auto& it : response) {
    if (it.name_string() == "X-Part-Stamps") {
      all += (all.empty() ? "" : ", ") + it.value().to_string();
      if (it.value().front() == 'd') {
        longest = std::max(longest, it.value().size());
      }
    }
  }
  std::string expected;
  for (const std::string& it : digests) {
    expected += (expected.empty() ? "" : ", ") + it;
  }
  EXPECT_EQ(all, expected);
  EXPECT_LE(longest, size_t{4200});
}

}  // namespace
}  // namespace gooseberryrock::platform
