// HTTP API of a node.

#include "gooseberryrock/node/http_api.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "backend.pb.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/node/at_most_once.h"
#include "gooseberryrock/node/caller_api.h"
#include "gooseberryrock/node/directory_replica.h"
#include "gooseberryrock/node/drain_gate.h"
#include "gooseberryrock/node/operator_api.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/proto/convert_server_record.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/query/answer.h"
#include "gooseberryrock/query/query_request.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

constexpr uint32_t kAnnounceWithinMs = 500;
// Retry delay for a caller refused because too many queries are in flight.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(100);

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

// Refuses a request for which nothing has been done yet.
query::Answer Refuse(const query::QueryRequest& request,
                     query::AnswerReason reason) {
  query::Answer answer = request.idempotent ? query::NotRun(reason)
                                            : RefuseUnclaimed(request, reason);
  answer.retry_after = kOverloadRetryAfter;
  return answer;
}

std::optional<double> CoverageOf(const query::Answer& answer) {
  if (answer.shards_total == 0) {
    return std::nullopt;
  }
  const auto total = static_cast<double>(answer.shards_total);
  return (total - static_cast<double>(answer.missing_shards.size())) / total;
}

void LogAnswer(const query::QueryRequest& request,
               const query::Answer& answer,
               Duration latency) {
  using telemetry::LogLevel;
  const bool ok = answer.status == query::AnswerStatus::kComplete;
  telemetry::LogEvent(
      ok ? LogLevel::kDebug : LogLevel::kInfo, "query_answered",
      {{"request_id", request.id.value},
       {"service", request.service.value},
       {"rank", std::string(RankName(request.rank))},
       {"status", std::string(query::AnswerStatusName(answer.status))},
       {"reason", std::string(query::AnswerReasonName(answer.reason))},
       {"shards", std::to_string(answer.shards_total)},
       {"missing_shards", std::to_string(answer.missing_shards.size())},
       {"latency_us",
        std::to_string(
            std::chrono::duration_cast<std::chrono::microseconds>(latency)
                .count())}});
}

}  // namespace

HttpApi::HttpApi(HttpApiDependencies deps) : deps_(std::move(deps)) {}

http::HttpReply HttpApi::Handle(const http::HttpRequest& request) {
  if (request.path.starts_with(kQueryPathPrefix)) {
    return HandleQuery(request);
  }
  if (request.path == "/v1/announce") {
    return HandleAnnouncement(request);
  }
  if (request.path.starts_with(kOperatorPathPrefix)) {
    return deps_.operator_api->Handle(request);
  }
  if (request.path == "/healthz") {
    return {200, "text/plain", "ok\n"};
  }
  if (request.path == "/readyz") {
    return HandleReady();
  }
  if (request.path == "/metrics") {
    deps_.update_gauges();
    return {200, std::string(telemetry::kMetricsContentType),
            telemetry::RenderMetrics(*deps_.metrics)};
  }
  return ErrorReply(404, "not_found", "there is nothing at this path");
}

http::HttpReply HttpApi::HandleQuery(const http::HttpRequest& request) {
  const SteadyTime arrived = Now();
  auto parsed = ParseQuery(request, arrived);
  if (auto* error = std::get_if<http::HttpReply>(&parsed)) {
    telemetry::Increment(*deps_.metrics, telemetry::Counter::kBadRequests);
    return *error;
  }
  const auto& query = std::get<query::QueryRequest>(parsed);
  const query::Answer answer = Answer(query);
  const Duration latency = Now() - arrived;
  if (answer.reason == query::AnswerReason::kOverloaded) {
    telemetry::Increment(*deps_.metrics, telemetry::Counter::kAdmissionRefused);
  }
  telemetry::RecordAnswer(
      *deps_.metrics,
      {query.service.value, query.rank, query.tenant,
       query::AnswerStatusName(answer.status), latency, CoverageOf(answer)});
  LogAnswer(query, answer, latency);
  return RenderAnswer(query.id, answer);
}

query::Answer HttpApi::Answer(const query::QueryRequest& request) {
  switch (deps_.gate->Enter(deps_.max_in_flight)) {
    case AdmissionResult::kStopping:
      return Refuse(request, query::AnswerReason::kStopping);
    case AdmissionResult::kLimitReached:
      return Refuse(request, query::AnswerReason::kOverloaded);
    case AdmissionResult::kAdmitted:
      break;
  }
  query::Answer answer = request.idempotent
                             ? deps_.engine->Execute(request)
                             : deps_.at_most_once->Execute(request);
  deps_.gate->Leave();
  return answer;
}

http::HttpReply HttpApi::HandleAnnouncement(const http::HttpRequest& request) {
  proto::Announcement message;
  proto::AnnouncementReply reply;
  try {
    proto::FromJson(request.body, message, /*ignore_unknown=*/true);
    reply.set_new_incarnation_needed(
        deps_.directory->OnAnnouncement(proto::FromMessage(message), Now()));
  } catch (const proto::MalformedMessageError& e) {
    return ErrorReply(400, "malformed_message", e.what());
  }
  reply.set_announce_within_ms(kAnnounceWithinMs);
  return {200, "application/json", proto::ToJson(reply)};
}

http::HttpReply HttpApi::HandleReady() const {
  if (!deps_.gate->IsReady()) {
    return {503, "text/plain", "stopping\n"};
  }
  if (!deps_.has_catalog()) {
    return {503, "text/plain", "no catalog\n"};
  }
  return {200, "text/plain", "ready\n"};
}

}  // namespace gooseberryrock::node
