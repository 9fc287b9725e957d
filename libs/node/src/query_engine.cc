// Executes queries: routes and sends attempts and delivers their results.

#include "gooseberryrock/node/query_engine.h"

#include <algorithm>
#include <limits>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "backend.pb.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/claims/crash_suspects.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/node/crash_guard.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/proto/convert_subquery.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/query/query_plan.h"
#include "gooseberryrock/query/routing.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
// A live server replies to a cancellation within this time.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);
constexpr uint32_t kOneAttempt = 1;

std::mt19937_64& ThreadRandom() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

std::vector<query::ServerView> Candidates(const ServerTable& servers,
                                          const ServiceView& view,
                                          const query::AttemptToSend& attempt) {
  std::vector<query::ServerView> candidates;
  auto replicas = view.routing.snapshots.find(attempt.snapshot);
  if (replicas == view.routing.snapshots.end()) {
    return candidates;
  }
  auto shard = replicas->second.find(attempt.shard);
  if (shard == replicas->second.end()) {
    return candidates;
  }
  for (const BackendServerId& id : shard->second) {
    if (auto candidate = servers.View(id)) {
      candidates.push_back(std::move(*candidate));
    }
  }
  return candidates;
}

std::string SubqueryBody(const query::QueryRequest& request,
                         const query::AttemptToSend& attempt,
                         SteadyTime now) {
  proto::Subquery message;
  message.set_attempt_id(attempt.id);
  message.set_request_id(request.id.value);
  message.set_service(request.service.value);
  message.set_shard(attempt.shard.value);
  message.set_layout_version(attempt.snapshot.layout_version);
  message.set_index_version(attempt.snapshot.index_version);
  message.set_rank(std::string(RankName(request.rank)));
  message.set_idempotent(request.idempotent);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt.deadline - now);
  message.set_deadline_ms(
      static_cast<uint32_t>(std::max<int64_t>(left.count(), 0)));
  message.set_text(request.text);
  message.set_row_limit(request.row_limit);
  return proto::ToJson(message);
}

using Outcome = QueryEngine::AttemptOutcome;

Outcome OutcomeOf(const http::BackendResult& result) {
  switch (result.kind) {
    case http::BackendResultKind::kNotSent:
      return query::AttemptFailure::kNotSent;
    case http::BackendResultKind::kLost:
      return query::AttemptFailure::kConnectionLost;
    case http::BackendResultKind::kSilent:
      return query::AttemptFailure::kConnectionSilent;
    case http::BackendResultKind::kReply:
      break;
  }
  if (result.http_status == kHttpUnavailable) {
    return query::AttemptFailure::kRefused;
  }
  if (result.http_status != kHttpOk) {
    return query::AttemptFailure::kServerError;
  }
  proto::SubqueryReply message;
  try {
    proto::FromJson(result.body, message, /*ignore_unknown=*/true);
  } catch (const proto::MalformedMessageError&) {
    return query::AttemptFailure::kConnectionLost;
  }
  // A reply on this connection with another attempt id does not belong to this
  // attempt.
  if (message.attempt_id() != result.attempt) {
    return query::AttemptFailure::kConnectionLost;
  }
  return proto::FromMessage(message);
}

query::AttemptEnd EndOf(const Outcome& outcome) {
  const auto* failure = std::get_if<query::AttemptFailure>(&outcome);
  if (failure == nullptr) {
    return query::AttemptEnd::kAnswered;
  }
  switch (*failure) {
    case query::AttemptFailure::kConnectionSilent:
      return query::AttemptEnd::kConnectionSilent;
    case query::AttemptFailure::kNotSent:
    case query::AttemptFailure::kRefused:
      return query::AttemptEnd::kRefused;
    case query::AttemptFailure::kNoSnapshot:
    case query::AttemptFailure::kServerError:
    case query::AttemptFailure::kConnectionLost:
    case query::AttemptFailure::kServerCrashed:
      break;
  }
  return query::AttemptEnd::kFailed;
}

bool HasRows(const query::Answer& answer) {
  return answer.status == query::AnswerStatus::kComplete ||
         answer.status == query::AnswerStatus::kPartial;
}

std::string CancelBody(query::AttemptId attempt) {
  proto::CancelRequest message;
  message.set_attempt_id(attempt);
  return proto::ToJson(message);
}

void CountAttempt(telemetry::Metrics& metrics, query::AttemptCause cause) {
  telemetry::Increment(metrics, telemetry::Counter::kAttemptsSent);
  if (cause == query::AttemptCause::kHedge) {
    telemetry::Increment(metrics, telemetry::Counter::kHedges);
  } else if (cause == query::AttemptCause::kRetry) {
    telemetry::Increment(metrics, telemetry::Counter::kRetries);
  }
}

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

QueryEngine::QueryEngine(const QueryEngineOptions& options,
                         const ServiceViews& views,
                         CrashGuard& crash_guard,
                         telemetry::Metrics& metrics)
    : views_(views),
      servers_(options.failure_domain, options.io_shards),
      crash_guard_(crash_guard),
      metrics_(metrics) {
  const size_t n = options.query_shards;
  // The first multiple of `n` above all ids of earlier incarnations.
  const query::AttemptId base = (options.first_attempt / n + 1) * n;
  for (size_t i = 0; i < n; ++i) {
    shards_.push_back(std::make_unique<QueryShard>(
        query::AttemptIdSource{base + i, n},
        [this, i](const QueryShard::PendingEffects& pending) {
          ExecuteEffects(i, pending);
        }));
  }
  for (size_t i = 0; i < n; ++i) {
    admission_shards_.push_back(std::make_unique<AdmissionShard>());
  }
  for (size_t i = 0; i < options.io_shards; ++i) {
    channels_.push_back(std::make_unique<http::BackendChannel>(
        [this](const http::BackendResult& result) { OnResult(result); }));
  }
}

QueryEngine::~QueryEngine() {
  // The channel threads access the shards.
  channels_.clear();
}

query::Answer QueryEngine::Execute(const query::QueryRequest& request) {
  auto view = views_.Find(request.service);
  if (view == nullptr) {
    return query::NotRun(query::AnswerReason::kUnknownService);
  }
  auto plan = query::PlanQuery(view->definition, view->routing, request);
  if (!plan) {
    return query::NotRun(query::AnswerReason::kNoBackendServer);
  }
  const auto fingerprint =
      claims::MakeFingerprint(request.service, request.text);
  const auto decision = crash_guard_.BeginRun(fingerprint, Now());
  if (decision == claims::FingerprintDecision::kRefuse ||
      decision == claims::FingerprintDecision::kBusy) {
    return query::NotRun(query::AnswerReason::kCrashesBackendServers);
  }
  query::Answer answer = decision == claims::FingerprintDecision::kRunExclusive
                             ? RunExclusive(request, view, *plan)
                             : RunPlan(request, view, std::move(*plan));
  crash_guard_.EndRun(fingerprint, HasRows(answer), Now());
  return answer;
}

query::Answer QueryEngine::RunExclusive(
    const query::QueryRequest& request,
    const std::shared_ptr<const ServiceView>& view,
    const query::QueryPlan& plan) {
  query::QueryPlan first = plan;
  first.shards.resize(1);
  query::Answer answer = RunPlan(request, view, std::move(first), kOneAttempt);
  if (!HasRows(answer) || plan.shards.size() == 1) {
    return answer;
  }
  return RunPlan(request, view, plan);
}

query::Answer QueryEngine::RunPlan(
    const query::QueryRequest& request,
    const std::shared_ptr<const ServiceView>& view,
    query::QueryPlan plan,
    std::optional<uint32_t> max_attempts) {
  query::QueryState state;
  state.request = request;
  state.request.row_limit =
      request.row_limit == 0
          ? view->definition.row_limit
          : std::min(request.row_limit, view->definition.row_limit);
  state.plan = std::move(plan);
  ServiceAdmission& admission = UpdatedAdmission(view);
  Duration retry_after = Duration::zero();
  auto policy = admission.Enter(request.rank, request.deadline, retry_after);
  if (!policy) {
    return query::NotRun(query::AnswerReason::kOverloaded, retry_after);
  }
  state.policy = *policy;
  if (max_attempts) {
    state.policy.max_attempts_per_shard = *max_attempts;
  }
  const SteadyTime started = Now();
  const size_t shard = next_shard_.fetch_add(1) % shards_.size();
  query::Answer answer = shards_[shard]->Run(std::move(state), view);
  admission.Leave(request.rank, Now() - started);
  return answer;
}

ServiceAdmission& QueryEngine::AdmissionOf(const ServiceName& service) {
  AdmissionShard& shard =
      *admission_shards_[Hash64(service.value) % admission_shards_.size()];
  std::lock_guard lock(shard.mutex);
  auto& admission = shard.services[service];
  if (admission == nullptr) {
    admission = std::make_unique<ServiceAdmission>();
  }
  return *admission;
}

ServiceAdmission& QueryEngine::UpdatedAdmission(
    const std::shared_ptr<const ServiceView>& view) {
  ServiceAdmission& admission = AdmissionOf(view->definition.name);
  if (admission.IsOutdated(view)) {
    admission.Update(view, SlotsOfSmallestShard(*view), nodes_);
  }
  return admission;
}

uint32_t QueryEngine::SlotsOfSmallestShard(const ServiceView& view) const {
  if (view.routing.snapshots.empty()) {
    return 1;
  }
  uint32_t min_slots = std::numeric_limits<uint32_t>::max();
  for (const auto& [shard, replicas] :
       view.routing.snapshots.rbegin()->second) {
    uint32_t slots = 0;
    for (const BackendServerId& id : replicas) {
      const auto server = servers_.View(id);
      slots += server ? server->slots : 0;
    }
    min_slots = std::min(min_slots, slots);
  }
  return std::max(min_slots, 1U);
}

void QueryEngine::OnServerChanged(const directory::ServerRecord& record,
                                  uint32_t connections) {
  http::BackendChannel& channel = *channels_[servers_.ShardOf(record.id)];
  if (record.state == directory::ServerState::kGone) {
    servers_.Remove(record.id);
    channel.RemoveEndpoint(record.id);
    return;
  }
  nodes_ = std::max(record.connection_limit / std::max(connections, 1U), 1U);
  servers_.Put(record);
  channel.SetEndpoint(record.id, {record.host, record.port, connections});
  if (record.state == directory::ServerState::kDraining) {
    channel.RejectQueued(record.id);
  }
}

void QueryEngine::ExecuteEffects(size_t shard,
                                 const QueryShard::PendingEffects& pending) {
  for (const query::AttemptToCancel& attempt : pending.effects.cancel) {
    if (attempt.server.empty()) {
      continue;
    }
    telemetry::Increment(metrics_, telemetry::Counter::kAttemptsCancelled);
    const SteadyTime now = Now();
    servers_.OnAttemptEnded(
        attempt.server, query::AttemptEnd::kCancelled, now - attempt.routed_at,
        AdmissionOf(pending.request.service).MeanSubqueryTime(), now);
    channels_[servers_.ShardOf(attempt.server)]->Cancel(
        attempt.server, attempt.id, CancelBody(attempt.id));
  }
  for (const query::AttemptToSend& attempt : pending.effects.send) {
    Send(shard, pending, attempt);
  }
  if (pending.effects.find_newer_snapshot) {
    FindNewerSnapshot(shard, pending);
  }
}

void QueryEngine::FindNewerSnapshot(size_t shard,
                                    const QueryShard::PendingEffects& pending) {
  auto view = views_.Find(pending.request.service);
  std::optional<query::QueryPlan> plan;
  if (view == nullptr) {
    view = pending.view;
  } else {
    plan = query::PlanQuery(view->definition, view->routing, pending.request,
                            pending.snapshot);
  }
  shards_[shard]->OnNewerSnapshot(pending.number, std::move(plan),
                                  std::move(view));
}

void QueryEngine::Send(size_t shard,
                       const QueryShard::PendingEffects& pending,
                       const query::AttemptToSend& attempt) {
  const auto candidates = Candidates(servers_, *pending.view, attempt);
  const auto chosen =
      query::ChooseServer(candidates, attempt.excluded, query::RoutingPolicy(),
                          ThreadRandom(), std::chrono::steady_clock::now());
  if (!chosen) {
    shards_[shard]->OnAttemptFailed(attempt.id,
                                    query::AttemptFailure::kNotSent);
    return;
  }
  const BackendServerId& server = candidates[*chosen].id;
  if (!shards_[shard]->OnAttemptRouted(attempt.id, server)) {
    return;
  }
  CountAttempt(metrics_, attempt.cause);
  const SteadyTime now = Now();
  servers_.OnAttemptStarted(server, now);
  http::BackendCall call;
  call.attempt = attempt.id;
  call.server = server;
  call.path = "/v1/subquery";
  call.body = SubqueryBody(pending.request, attempt, now);
  call.deadline = attempt.deadline;
  call.at_most_once = !pending.request.idempotent;
  call.service = pending.request.service;
  call.rank = pending.request.rank;
  call.fingerprint =
      claims::MakeFingerprint(pending.request.service, pending.request.text);
  if (pending.request.idempotent) {
    call.silence_timeout = AdmissionOf(pending.request.service)
                               .SilenceTimeout(pending.request.rank);
  }
  call.window = query::SendWindow(candidates[*chosen]);
  call.cancel_body = CancelBody(attempt.id);
  channels_[servers_.ShardOf(server)]->Send(std::move(call));
}

void QueryEngine::OnResult(const http::BackendResult& result) {
  if (result.attempt >= kFirstProbeId) {
    OnProbeResult(result);
    return;
  }
  Outcome outcome = OutcomeOf(result);
  const query::AttemptEnd end = EndOf(outcome);
  ServiceAdmission& admission = AdmissionOf(result.service);
  const auto server = servers_.View(result.server);
  servers_.OnAttemptEnded(result.server, end, result.elapsed,
                          admission.MeanSubqueryTime(), Now());
  if (end == query::AttemptEnd::kAnswered) {
    admission.RecordSubquery(result.rank, result.elapsed);
  } else {
    telemetry::Increment(metrics_, telemetry::Counter::kAttemptsFailed);
  }
  if (result.kind == http::BackendResultKind::kLost && server) {
    Probe(result, server->outstanding > 1);
  } else {
    DeliverOutcome(result.attempt, std::move(outcome));
  }
}

void QueryEngine::DeliverOutcome(query::AttemptId attempt,
                                 AttemptOutcome outcome) {
  QueryShard& shard = ShardOfAttempt(attempt);
  if (auto* reply = std::get_if<query::SubqueryReply>(&outcome)) {
    shard.OnReply(std::move(*reply));
  } else {
    shard.OnAttemptFailed(attempt, std::get<query::AttemptFailure>(outcome));
  }
}

void QueryEngine::Probe(const http::BackendResult& lost, bool shared) {
  http::BackendCall call;
  {
    std::lock_guard lock(probes_mutex_);
    call.attempt = next_probe_id_++;
    probes_[call.attempt] = {lost.attempt, lost.fingerprint, shared};
  }
  call.server = lost.server;
  call.path = "/v1/cancel";
  call.body = CancelBody(lost.attempt);
  call.deadline = Now() + kProbeTimeout;
  call.at_most_once = true;
  channels_[servers_.ShardOf(lost.server)]->Send(std::move(call));
}

void QueryEngine::OnProbeResult(const http::BackendResult& probe) {
  LostAttempt lost;
  {
    std::lock_guard lock(probes_mutex_);
    auto it = probes_.find(probe.attempt);
    if (it == probes_.end()) {
      return;
    }
    lost = it->second;
    probes_.erase(it);
  }
  // A server that refuses a connection right after one was lost has crashed. A
  // probe that is not sent for another reason uses up its whole timeout.
  const bool crashed =
      probe.kind == http::BackendResultKind::kNotSent && probe.refused;
  if (crashed) {
    telemetry::Increment(metrics_, telemetry::Counter::kServerCrashes);
    crash_guard_.OnCrash(lost.fingerprint,
                         {probe.server, servers_.IncarnationOf(probe.server)},
                         lost.shared);
  }
  DeliverOutcome(lost.attempt, crashed
                                   ? query::AttemptFailure::kServerCrashed
                                   : query::AttemptFailure::kConnectionLost);
}

QueryShard& QueryEngine::ShardOfAttempt(query::AttemptId attempt) {
  return *shards_[attempt % shards_.size()];
}

}  // namespace gooseberryrock::node
