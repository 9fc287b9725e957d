// An I/O shard of an entry node: requests that may crash backend servers.

#include <algorithm>
#include <string>
#include <utility>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/claims/shared_crash_history.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Counter;
using telemetry::LogLevel;

// Time after a lost connection in which the end of the server's process is
// attributed to the requests that were running on it.
constexpr Duration kCrashConfirmationTime = std::chrono::seconds(5);
// After this time, an open connection shows that the server's process runs. A
// process that ends may still accept connections while others are being closed.
constexpr Duration kCrashTime = std::chrono::milliseconds(500);
// Requests of which one server runs more at a time are not recorded.
constexpr size_t kMaxLostRuns = 64;

claims::Fingerprint MakeRequestFingerprint(const transport::Request& request,
                                           const std::string& host) {
  const auto append = [](uint64_t hash, boost::beast::string_view text) {
    return Hash64({text.data(), text.size()}, hash);
  };
  return append(
      append(append(Hash64(host), request.method_string()), request.target()),
      request.body());
}

claims::RequestKind KindOf(const routes::Route& route) {
  return std::holds_alternative<routes::ShardedTarget>(route.target)
             ? claims::RequestKind::kGathered
             : claims::RequestKind::kRelayed;
}

}  // namespace

claims::CrashDecision EntryShard::CheckCrashes(
    const transport::Request& request,
    const CallerRequest& caller,
    const routes::Route& route,
    SteadyTime now) {
  if (!crash_history_.IsActive()) {
    return {};
  }
  const auto decision = crash_history_.BeginRun(
      MakeRequestFingerprint(request, caller.host), KindOf(route),
      now + caller.timeout.value_or(route.timeout), now);
  if (decision.action == claims::CrashAction::kRefuse) {
    Increment(metrics_, Counter::kCrashingRequestsRefused);
    telemetry::LogEvent(
        LogLevel::kWarning, "request_refused",
        {{"request", caller.id},
         {"route", route.name},
         {"reason", "crashes_servers"},
         {"crashes", std::to_string(decision.crashes)},
         {"retry_after_ms", Milliseconds(decision.retry_after)}});
  }
  return decision;
}

void EntryShard::RecordLostRun(const InFlightAttempt& attempt, SteadyTime now) {
  auto active = active_.find(attempt.active);
  const relay::PoolServer* server =
      relay::FindServer(*attempt.pool, attempt.server);
  if (IsForward(attempt) || active == active_.end() || server == nullptr) {
    return;
  }
  LostRuns& lost = lost_runs_[attempt.server];
  if (lost.runs.empty() || lost.incarnation != server->incarnation) {
    lost = {server->incarnation, now, /*has_process=*/false, {}};
  }
  if (lost.runs.size() >= kMaxLostRuns) {
    return;
  }
  const ActiveRequest& request = *active->second;
  const claims::CrashId crash =
      KindOf(*request.route) == claims::RequestKind::kGathered
          ? Hash64(attempt.request_id)
          : Hash64(attempt.server.value, server->incarnation);
  lost.runs.push_back(
      {MakeRequestFingerprint(request.request, request.caller.host), crash,
       attempt.request_id});
}

void EntryShard::ConfirmCrash(const BackendServerId& server, SteadyTime now) {
  auto it = lost_runs_.find(server);
  if (it == lost_runs_.end()) {
    return;
  }
  const LostRuns lost = std::move(it->second);
  lost_runs_.erase(it);
  Increment(metrics_, Counter::kServerCrashes);
  for (const LostRun& run : lost.runs) {
    const size_t n =
        crash_history_.RecordCrash(run.fingerprint, run.crash, now);
    telemetry::LogEvent(LogLevel::kWarning, "server_crashed",
                        {{"server", server.value},
                         {"request", run.request_id},
                         {"requests_lost", std::to_string(lost.runs.size())},
                         {"crashes_of_request", std::to_string(n)}});
  }
}

void EntryShard::OnConnectFailed(const BackendServerId& server,
                                 SteadyTime now) {
  auto it = lost_runs_.find(server);
  if (it != lost_runs_.end() && !it->second.has_process) {
    ConfirmCrash(server, now);
  }
}

void EntryShard::OnServerReplied(const BackendServerId& server) {
  auto it = lost_runs_.find(server);
  if (it != lost_runs_.end()) {
    it->second.has_process = true;
  }
}

void EntryShard::RecordAnswer(const ActiveRequest& active, SteadyTime now) {
  if (crash_history_.IsActive() &&
      crash_history_.RecordAnswer(
          MakeRequestFingerprint(active.request, active.caller.host), now)) {
    telemetry::LogEvent(
        LogLevel::kInfo, "request_cleared_of_crashes",
        {{"request", active.caller.id}, {"route", active.route->name}});
  }
}

void EntryShard::MaintainLostRuns(SteadyTime now) {
  std::erase_if(lost_runs_, [&](const auto& it) {
    return now - it.second.lost_at > kCrashConfirmationTime;
  });
  for (auto& [id, lost] : lost_runs_) {
    const auto record = records_.find(id);
    if (lost.has_process || record == records_.end()) {
      continue;
    }
    relay::ServicePool& pool = PoolOf(record->second.service);
    const relay::PoolServer* server = relay::FindServer(pool, id);
    if (server == nullptr || server->connections == 0) {
      connections_.Probe(pool, id);
    } else if (now - lost.lost_at > kCrashTime) {
      lost.has_process = true;
    }
  }
}

}  // namespace gooseberryrock::entry
