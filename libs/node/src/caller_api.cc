// HTTP API for callers.

#include "gooseberryrock/node/caller_api.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

#include "caller.pb.h"
#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/proto/convert_answer.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/query/answer.h"
#include "operator.pb.h"

namespace gooseberryrock::node {

namespace {

constexpr size_t kMaxHeaderBytes = 256;
constexpr size_t kMaxTextBytes = size_t{16} * 1024;
constexpr int64_t kMaxDeadlineMs = 60000;

bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

// Parses the headers and body of one query and keeps the first error.
class QueryParser {
 public:
  QueryParser(const http::HttpRequest& request, SteadyTime now)
      : request_(request), now_(now) {}

  std::variant<query::QueryRequest, http::HttpReply> Parse() {
    if (request_.method != "POST") {
      return ErrorReply(405, "method_not_allowed", "queries are sent by POST");
    }
    if (request_.body_too_large) {
      return ErrorReply(413, "body_too_large",
                        "the body is larger than 65536 bytes");
    }
    query_.service.value = request_.path.substr(kQueryPathPrefix.size());
    if (!catalog::IsValidName(query_.service.value)) {
      Fail("invalid_service", "the path does not name a service");
    }
    query_.id.value = Header("gbr-request-id", /*required=*/true);
    query_.tenant = Header("gbr-tenant", /*required=*/false);
    query_.routing_key = Header("gbr-routing-key", /*required=*/false);
    ParseDeadline();
    ParseRankHeader();
    ParseIdempotent();
    ParseFirstSend();
    ParseBody();
    if (error_) {
      return *error_;
    }
    return query_;
  }

 private:
  void Fail(std::string_view error, std::string_view message) {
    if (!error_) {
      error_ = ErrorReply(400, error, message);
    }
  }

  std::string Header(const std::string& name, bool required) {
    auto it = request_.headers.find(name);
    if (it == request_.headers.end() || it->second.empty()) {
      if (required) {
        Fail("missing_header", "header " + name + " is missing");
      }
      return "";
    }
    // Header values are echoed in replies, which must be valid UTF-8.
    if (!std::all_of(it->second.begin(), it->second.end(), IsPrintable)) {
      Fail("invalid_header",
           "header " + name + " must consist of printable ASCII characters");
      return "";
    }
    if (it->second.size() > kMaxHeaderBytes) {
      Fail("header_too_long", "header " + name + " is longer than 256 bytes");
      return "";
    }
    return it->second;
  }

  void ParseDeadline() {
    const std::string text = Header("gbr-deadline-ms", /*required=*/true);
    int64_t ms = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc() || end != text.data() + text.size() || ms < 1 ||
        ms > kMaxDeadlineMs) {
      Fail("invalid_deadline", "gbr-deadline-ms must be 1 to 60000");
    }
    query_.deadline = now_ + std::chrono::milliseconds(ms);
  }

  void ParseRankHeader() {
    const auto rank = ParseRank(Header("gbr-rank", /*required=*/true));
    if (!rank) {
      Fail("invalid_rank", "gbr-rank must be urgent, normal or background");
      return;
    }
    query_.rank = *rank;
  }

  void ParseIdempotent() {
    const std::string text = Header("gbr-idempotent", /*required=*/true);
    if (text != "true" && text != "false") {
      Fail("invalid_idempotent", "gbr-idempotent must be true or false");
    }
    query_.idempotent = text != "false";
    if (!query_.idempotent && query_.routing_key.empty()) {
      Fail("missing_routing_key",
           "a request that is not idempotent needs gbr-routing-key");
    }
    if (!query_.idempotent && !HasTimestamp(query_.id.value)) {
      Fail("invalid_request_id",
           "the gbr-request-id of a request that is not idempotent must have "
           "the form <unix milliseconds>-<random>");
    }
  }

  void ParseFirstSend() {
    const std::string text = Header("gbr-first-send", /*required=*/false);
    if (!text.empty() && text != "true" && text != "false") {
      Fail("invalid_first_send", "gbr-first-send must be true or false");
    }
    query_.first_send = text == "true";
  }

  // Claims expire based on the timestamp in the request id.
  static bool HasTimestamp(const std::string& id) {
    int64_t ms = 0;
    const char* end = id.data() + id.size();
    const auto result = std::from_chars(id.data(), end, ms);
    return result.ec == std::errc() && ms >= 0 && end - result.ptr >= 2 &&
           *result.ptr == '-';
  }

  void ParseBody() {
    proto::QueryBody body;
    try {
      proto::FromJson(request_.body, body);
    } catch (const proto::MalformedMessageError& e) {
      Fail("invalid_body", e.what());
      return;
    }
    if (body.text().size() > kMaxTextBytes) {
      Fail("text_too_long", "the query text is longer than 16384 bytes");
    }
    if (body.row_limit() > catalog::kMaxRowLimit) {
      Fail("invalid_row_limit", "row_limit must be at most 10000");
    }
    query_.text = body.text();
    query_.row_limit = body.row_limit();
  }

  const http::HttpRequest& request_;
  const SteadyTime now_;
  query::QueryRequest query_;
  std::optional<http::HttpReply> error_;
};

// 503 means that the same request may succeed later; clients and proxies retry
// it. The other codes do not invite a retry.
int HttpStatusOfNotRun(query::AnswerReason reason) {
  switch (reason) {
    case query::AnswerReason::kUnknownService:
      return 404;
    case query::AnswerReason::kRequestIdExpired:
    case query::AnswerReason::kRequestIdReused:
      return 409;
    case query::AnswerReason::kCrashesBackendServers:
      return 422;
    default:
      return 503;
  }
}

int HttpStatus(const query::Answer& answer) {
  switch (answer.status) {
    case query::AnswerStatus::kComplete:
    case query::AnswerStatus::kPartial:
      return 200;
    case query::AnswerStatus::kNotRun:
      return HttpStatusOfNotRun(answer.reason);
    case query::AnswerStatus::kOutcomeUnknown:
      return 504;
    case query::AnswerStatus::kFailed:
      return 502;
  }
  return 500;
}

}  // namespace

std::variant<query::QueryRequest, http::HttpReply> ParseQuery(
    const http::HttpRequest& request,
    SteadyTime now) {
  return QueryParser(request, now).Parse();
}

http::HttpReply RenderAnswer(const RequestId& request,
                             const query::Answer& answer) {
  return {HttpStatus(answer), "application/json",
          proto::ToJson(proto::ToMessage(request, answer))};
}

http::HttpReply ErrorReply(int status,
                           std::string_view error,
                           std::string_view message) {
  proto::ErrorReply reply;
  reply.set_error(std::string(error));
  // Messages may quote input that is not valid UTF-8, which protobuf cannot
  // encode.
  std::string& text = *reply.mutable_message();
  text = message;
  std::replace_if(
      text.begin(), text.end(), [](char c) { return !IsPrintable(c); }, '?');
  return {status, "application/json", proto::ToJson(reply)};
}

}  // namespace gooseberryrock::node
