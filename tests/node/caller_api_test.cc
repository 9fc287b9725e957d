// Tests query parsing and answer rendering.

#include "gooseberryrock/node/caller_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/query/answer.h"
#include "operator.pb.h"

namespace gooseberryrock::node {
namespace {

using http::HttpRequest;

constexpr SteadyTime kNow = SteadyTime(std::chrono::hours(1));

HttpRequest ValidRequest() {
  return {"POST",
          "/v1/query/chairs",
          {{"gbr-request-id", "1764842400000-0123456789abcdef"},
           {"gbr-deadline-ms", "250"},
           {"gbr-rank", "urgent"},
           {"gbr-idempotent", "true"},
           {"gbr-tenant", "salon-7"}},
          R"({"text": "after two", "row_limit": 20})"};
}

// A field must not be dropped or read from the wrong header.
TEST(ParseQueryTest, ReadsAllFields) {
  HttpRequest request = ValidRequest();
  request.headers["gbr-idempotent"] = "false";
  request.headers["gbr-routing-key"] = "stylist-3";
  const auto parsed = ParseQuery(request, kNow);
  const auto* query = std::get_if<query::QueryRequest>(&parsed);
  ASSERT_NE(query, nullptr);
  EXPECT_EQ(query->id.value, "1764842400000-0123456789abcdef");
  EXPECT_EQ(query->service.value, "chairs");
  EXPECT_EQ(query->tenant, "salon-7");
  EXPECT_EQ(query->rank, Rank::kUrgent);
  EXPECT_EQ(query->deadline, kNow + std::chrono::milliseconds(250));
  EXPECT_FALSE(query->idempotent);
  EXPECT_EQ(query->routing_key, "stylist-3");
  EXPECT_EQ(query->text, "after two");
  EXPECT_EQ(query->row_limit, 20U);
}

struct BadRequest {
  std::string name;
  std::function<void(HttpRequest&)> corrupt;
  int status;
  std::string error;
};

std::function<void(HttpRequest&)> SetHeader(const std::string& key,
                                            const std::string& value) {
  return [=](HttpRequest& it) { it.headers[key] = value; };
}

std::function<void(HttpRequest&)> RemoveHeader(const std::string& key) {
  return [=](HttpRequest& it) { it.headers.erase(key); };
}

std::function<void(HttpRequest&)> SetBody(const std::string& body) {
  return [=](HttpRequest& it) { it.body = body; };
}

std::function<void(HttpRequest&)> NonIdempotent(const std::string& id) {
  return [=](HttpRequest& it) {
    it.headers["gbr-idempotent"] = "false";
    it.headers["gbr-routing-key"] = "k";
    it.headers["gbr-request-id"] = id;
  };
}

const BadRequest kBadRequests[] = {
    {"WrongMethod", [](HttpRequest& it) { it.method = "GET"; }, 405,
     "method_not_allowed"},
    {"BodyTooLarge", [](HttpRequest& it) { it.body_too_large = true; }, 413,
     "body_too_large"},
    {"NoService", [](HttpRequest& it) { it.path = "/v1/query/"; }, 400,
     "invalid_service"},
    {"BadService", [](HttpRequest& it) { it.path = "/v1/query/a/b"; }, 400,
     "invalid_service"},
    {"NoRequestId", RemoveHeader("gbr-request-id"), 400, "missing_header"},
    {"EmptyRequestId", SetHeader("gbr-request-id", ""), 400, "missing_header"},
    {"LongRequestId", SetHeader("gbr-request-id", std::string(257, 'x')), 400,
     "header_too_long"},
    {"LongTenant", SetHeader("gbr-tenant", std::string(257, 'x')), 400,
     "header_too_long"},
    {"LongRoutingKey", SetHeader("gbr-routing-key", std::string(257, 'x')), 400,
     "header_too_long"},
    {"BinaryRequestId", SetHeader("gbr-request-id", "\xff"), 400,
     "invalid_header"},
    {"NoDeadline", RemoveHeader("gbr-deadline-ms"), 400, "missing_header"},
    {"ZeroDeadline", SetHeader("gbr-deadline-ms", "0"), 400,
     "invalid_deadline"},
    {"NegativeDeadline", SetHeader("gbr-deadline-ms", "-5"), 400,
     "invalid_deadline"},
    {"LongDeadline", SetHeader("gbr-deadline-ms", "60001"), 400,
     "invalid_deadline"},
    {"HugeDeadline", SetHeader("gbr-deadline-ms", "99999999999999999999"), 400,
     "invalid_deadline"},
    {"DeadlineWithUnit", SetHeader("gbr-deadline-ms", "250ms"), 400,
     "invalid_deadline"},
    {"NoRank", RemoveHeader("gbr-rank"), 400, "missing_header"},
    {"UnknownRank", SetHeader("gbr-rank", "Urgent"), 400, "invalid_rank"},
    {"NoIdempotent", RemoveHeader("gbr-idempotent"), 400, "missing_header"},
    {"BadIdempotent", SetHeader("gbr-idempotent", "yes"), 400,
     "invalid_idempotent"},
    {"NoRoutingKey", SetHeader("gbr-idempotent", "false"), 400,
     "missing_routing_key"},
    {"IdWithoutTime", NonIdempotent("booking-1"), 400, "invalid_request_id"},
    {"IdWithoutRandom", NonIdempotent("1764842400000-"), 400,
     "invalid_request_id"},
    {"IdWithHugeTime", NonIdempotent("99999999999999999999-x"), 400,
     "invalid_request_id"},
    {"EmptyBody", SetBody(""), 400, "invalid_body"},
    {"BadJson", SetBody(R"({"text": )"), 400, "invalid_body"},
    {"JsonArray", SetBody("[]"), 400, "invalid_body"},
    {"UnknownField", SetBody(R"({"txt": "a"})"), 400, "invalid_body"},
    {"WrongType", SetBody(R"({"text": {}})"), 400, "invalid_body"},
    {"InvalidUtf8", SetBody("{\"text\": \"\xff\"}"), 400, "invalid_body"},
    {"LongText", SetBody(R"({"text": ")" + std::string(16385, 'x') + "\"}"),
     400, "text_too_long"},
    {"LargeRowLimit", SetBody(R"({"row_limit": 10001})"), 400,
     "invalid_row_limit"},
    {"NegativeRowLimit", SetBody(R"({"row_limit": -1})"), 400, "invalid_body"},
};

class BadRequestTest : public testing::TestWithParam<BadRequest> {};

// Invalid input must be rejected without running the query or crashing, and
// error names are part of the API.
TEST_P(BadRequestTest, GetsStatusAndStableErrorName) {
  HttpRequest request = ValidRequest();
  GetParam().corrupt(request);
  const auto parsed = ParseQuery(request, kNow);
  const auto* reply = std::get_if<http::HttpReply>(&parsed);
  ASSERT_NE(reply, nullptr);
  EXPECT_EQ(reply->status, GetParam().status);
  proto::ErrorReply error;
  proto::FromJson(reply->body, error);
  EXPECT_EQ(error.error(), GetParam().error);
  EXPECT_FALSE(error.message().empty());
  EXPECT_THAT(reply->body, testing::Not(testing::HasSubstr("\xff")));
}

std::string BadRequestName(const testing::TestParamInfo<BadRequest>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(All,
                         BadRequestTest,
                         testing::ValuesIn(kBadRequests),
                         BadRequestName);

// Values at the documented limits must be accepted.
TEST(ParseQueryTest, AcceptsValuesAtTheLimits) {
  HttpRequest request = ValidRequest();
  request.headers["gbr-deadline-ms"] = "60000";
  request.headers["gbr-tenant"] = std::string(256, 'x');
  request.body =
      R"({"row_limit": 10000, "text": ")" + std::string(16384, 'x') + "\"}";
  EXPECT_TRUE(
      std::holds_alternative<query::QueryRequest>(ParseQuery(request, kNow)));
}

// A wrong status code would make callers resend a request that may have run, or
// give up on one that did not run.
TEST(RenderAnswerTest, StatusCodeFollowsOutcome) {
  const auto status = [](query::AnswerStatus it, query::AnswerReason reason) {
    query::Answer answer;
    answer.status = it;
    answer.reason = reason;
    return RenderAnswer({"id"}, answer).status;
  };
  using query::AnswerReason;
  using query::AnswerStatus;
  EXPECT_EQ(status(AnswerStatus::kComplete, AnswerReason::kNone), 200);
  EXPECT_EQ(status(AnswerStatus::kPartial, AnswerReason::kDeadlinePassed), 200);
  EXPECT_EQ(status(AnswerStatus::kNotRun, AnswerReason::kOverloaded), 503);
  EXPECT_EQ(status(AnswerStatus::kNotRun, AnswerReason::kUnknownService), 404);
  EXPECT_EQ(status(AnswerStatus::kNotRun, AnswerReason::kRequestIdReused), 409);
  EXPECT_EQ(status(AnswerStatus::kNotRun, AnswerReason::kRequestIdExpired),
            409);
  EXPECT_EQ(status(AnswerStatus::kNotRun, AnswerReason::kCrashesBackendServers),
            422);
  EXPECT_EQ(
      status(AnswerStatus::kOutcomeUnknown, AnswerReason::kConnectionLost),
      504);
  EXPECT_EQ(status(AnswerStatus::kFailed, AnswerReason::kBackendServerError),
            502);
}

}  // namespace
}  // namespace gooseberryrock::node
