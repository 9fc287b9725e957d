// Names of answer statuses and reasons.

#include "gooseberryrock/query/answer.h"

namespace gooseberryrock::query {

namespace {

// Returns the enum value in [0, `last`] with the given name.
template <typename Enum>
std::optional<Enum> ParseName(std::string_view name,
                              Enum last,
                              std::string_view (*name_of)(Enum)) {
  for (int i = 0; i <= static_cast<int>(last); ++i) {
    const auto value = static_cast<Enum>(i);
    if (name_of(value) == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view AnswerStatusName(AnswerStatus status) {
  switch (status) {
    case AnswerStatus::kComplete:
      return "complete";
    case AnswerStatus::kPartial:
      return "partial";
    case AnswerStatus::kNotRun:
      return "not_run";
    case AnswerStatus::kOutcomeUnknown:
      return "outcome_unknown";
    case AnswerStatus::kFailed:
      return "failed";
  }
  return "unknown";
}

std::string_view AnswerReasonName(AnswerReason reason) {
  switch (reason) {
    case AnswerReason::kNone:
      return "";
    case AnswerReason::kOverloaded:
      return "overloaded";
    case AnswerReason::kDeadlineTooShort:
      return "deadline_too_short";
    case AnswerReason::kDeadlinePassed:
      return "deadline_passed";
    case AnswerReason::kNoBackendServer:
      return "no_backend_server";
    case AnswerReason::kRefusedByBackendServers:
      return "refused_by_backend_servers";
    case AnswerReason::kStopping:
      return "stopping";
    case AnswerReason::kUnknownService:
      return "unknown_service";
    case AnswerReason::kNoQuorum:
      return "no_quorum";
    case AnswerReason::kRequestIdExpired:
      return "request_id_expired";
    case AnswerReason::kRequestIdReused:
      return "request_id_reused";
    case AnswerReason::kStillRunning:
      return "still_running";
    case AnswerReason::kCrashesBackendServers:
      return "crashes_backend_servers";
    case AnswerReason::kConnectionLost:
      return "connection_lost";
    case AnswerReason::kBackendServerError:
      return "backend_server_error";
    case AnswerReason::kRowLimit:
      return "row_limit";
  }
  return "unknown";
}

std::optional<AnswerStatus> ParseAnswerStatus(std::string_view name) {
  return ParseName<AnswerStatus>(name, AnswerStatus::kFailed, AnswerStatusName);
}

std::optional<AnswerReason> ParseAnswerReason(std::string_view name) {
  return ParseName<AnswerReason>(name, AnswerReason::kRowLimit,
                                 AnswerReasonName);
}

Answer NotRun(AnswerReason reason, std::optional<Duration> retry_after) {
  Answer answer;
  answer.status = AnswerStatus::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  return answer;
}

}  // namespace gooseberryrock::query
