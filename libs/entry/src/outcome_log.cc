// Logs and counts the outcome of requests.

#include "outcome_log.h"

#include <chrono>
#include <variant>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/relay/service_pool.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

const char* ReasonName(relay::RefusalReason reason) {
  switch (reason) {
    case relay::RefusalReason::kNoServer:
      return "no_server";
    case relay::RefusalReason::kShardsUnavailable:
      return "shards_unavailable";
    case relay::RefusalReason::kOverloaded:
      return "overloaded";
    case relay::RefusalReason::kServersRefused:
      return "servers_refused";
    case relay::RefusalReason::kServersLimited:
      return "servers_limited";
    case relay::RefusalReason::kServersResting:
      return "servers_resting";
    case relay::RefusalReason::kCrashesServers:
      return "crashes_servers";
    case relay::RefusalReason::kNotInTime:
      return "not_in_time";
    case relay::RefusalReason::kConfigurationNotConfirmed:
      return "configuration_not_confirmed";
  }
  return "unknown";
}

const char* ReasonName(relay::FailureReason reason) {
  switch (reason) {
    case relay::FailureReason::kTimeout:
      return "timeout";
    case relay::FailureReason::kConnectionLost:
      return "connection_lost";
    case relay::FailureReason::kTooFewShards:
      return "too_few_shards";
    case relay::FailureReason::kRepliesTooLarge:
      return "replies_too_large";
  }
  return "unknown";
}

// Maximum number of missing services in a log line.
constexpr size_t kMaxNamedServices = 5;

// The services of the unanswered parts, separated by commas.
std::string MissingServices(const relay::RequestState& state) {
  std::string names;
  size_t n = 0;
  for (const relay::RequestPart& part : state.parts) {
    if (!part.answered && n++ < kMaxNamedServices) {
      names += (names.empty() ? "" : ",") +
               (part.group.empty() ? part.pool->service.value
                                   : "group:" + part.domain.value);
    }
  }
  return names;
}

// Uses the same names as query::AnswerStatusName().
const char* StatusName(const relay::RequestState& state,
                       const relay::Outcome& outcome) {
  if (const auto* gathered = std::get_if<relay::GatheredOutcome>(&outcome)) {
    return gathered->missing_shards > 0 ? "partial" : "complete";
  }
  if (const auto* relayed = std::get_if<relay::RelayedOutcome>(&outcome)) {
    return relayed->attempt == state.failed_reply ? "failed" : "complete";
  }
  if (std::holds_alternative<relay::RefusedOutcome>(outcome)) {
    return "not_run";
  }
  return state.IsGathered() ? "failed" : "outcome_unknown";
}

}  // namespace

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void LogOutcome(const std::string& request_id,
                const relay::RequestState& state,
                const relay::Outcome& outcome) {
  const std::string elapsed = Milliseconds(BootTime() - state.received);
  if (const auto* refused = std::get_if<relay::RefusedOutcome>(&outcome)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", request_id},
                         {"route", state.route->name},
                         {"reason", ReasonName(refused->reason)},
                         {"missing_services", MissingServices(state)},
                         {"retry_after_ms", Milliseconds(refused->retry_after)},
                         {"elapsed_ms", elapsed}});
  } else if (const auto* failed = std::get_if<relay::FailedOutcome>(&outcome)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_failed",
                        {{"request", request_id},
                         {"route", state.route->name},
                         {"reason", ReasonName(failed->reason)},
                         {"answered", std::to_string(state.parts_answered)},
                         {"missing_services", MissingServices(state)},
                         {"elapsed_ms", elapsed}});
  } else if (const auto* gathered =
                 std::get_if<relay::GatheredOutcome>(&outcome)) {
    if (gathered->missing_shards > 0) {
      telemetry::LogEvent(
          LogLevel::kInfo, "answer_partial",
          {{"request", request_id},
           {"route", state.route->name},
           {"missing", std::to_string(gathered->missing_shards)},
           {"missing_services", MissingServices(state)},
           {"settled_early", gathered->settled_early ? "true" : "false"},
           {"elapsed_ms", elapsed}});
    }
  }
}

void CountOutcome(telemetry::Metrics& metrics,
                  const std::string& host,
                  const relay::RequestState& state,
                  const relay::Outcome& outcome) {
  const Duration latency = BootTime() - state.received;
  telemetry::AnswerSample sample{
      state.route->name,          state.rank, host,
      StatusName(state, outcome), latency,    std::nullopt};
  if (const auto* gathered = std::get_if<relay::GatheredOutcome>(&outcome)) {
    const auto answered = static_cast<double>(gathered->digests.size());
    sample.coverage = answered / (answered + gathered->missing_shards);
  }
  RecordAnswer(metrics, sample);
  if (std::holds_alternative<relay::RefusedOutcome>(outcome)) {
    Increment(metrics, telemetry::Counter::kAdmissionRefused);
  }
}

}  // namespace gooseberryrock::entry
