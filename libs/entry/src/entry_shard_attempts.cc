// An I/O shard of an entry node: attempts at backend servers.

#include <utility>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gather_messages.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/server_connection.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Counter;
using telemetry::LogLevel;

// An attempt without a reply is closed this long after its deadline; a server
// that was only paused has replied by then.
constexpr Duration kReplyGracePeriod = std::chrono::milliseconds(300);
// Maximum size of a reply; larger ones are treated as malformed.
constexpr size_t kMaxReplyBytes = size_t{8} << 20U;
// Maximum number of replies to other requests to skip before the matching one.
constexpr uint32_t kMaxMismatchedReplies = 2;

relay::AttemptResult ResultOf(relay::ReplyKind kind) {
  switch (kind) {
    case relay::ReplyKind::kSuccess:
      return relay::AttemptResult::kAnswered;
    case relay::ReplyKind::kNotRun:
    case relay::ReplyKind::kOtherServer:
      return relay::AttemptResult::kRefused;
    case relay::ReplyKind::kUnusable:
      return relay::AttemptResult::kLost;
    case relay::ReplyKind::kFailure:
      return relay::AttemptResult::kServerError;
  }
  return relay::AttemptResult::kServerError;
}

// For the log line `attempt_lost`.
const char* LossCause(transport::ReplyStatus status) {
  switch (status) {
    case transport::ReplyStatus::kMalformed:
      return "reply";
    case transport::ReplyStatus::kGivenUp:
      return "memory";
    case transport::ReplyStatus::kConnectionLost:
    case transport::ReplyStatus::kComplete:
      break;
  }
  return "connection";
}

}  // namespace

void EntryShard::Send(RequestNumber number,
                      const relay::AttemptToSend& attempt) {
  ActiveRequest& active = *active_.at(number);
  const AttemptKey key = next_attempt_key_++;
  InFlightAttempt in_flight_attempt;
  in_flight_attempt.active = number;
  in_flight_attempt.attempt = attempt.number;
  in_flight_attempt.pool = attempt.pool;
  in_flight_attempt.server = attempt.server;
  in_flight_attempt.times_rank = active.state.route->rank;
  in_flight_attempt.request_id = active.caller.id;
  active.in_flight[attempt.number] = key;
  in_flight_.emplace(key, std::move(in_flight_attempt));
  if (attempt.cause == relay::AttemptCause::kHedge ||
      attempt.cause == relay::AttemptCause::kRetry) {
    Increment(metrics_, attempt.cause == relay::AttemptCause::kHedge
                            ? Counter::kHedges
                            : Counter::kRetries);
    telemetry::LogEvent(
        LogLevel::kInfo, "attempt_repeated",
        {{"request", active.caller.id},
         {"service", attempt.pool->service.value},
         {"server", attempt.server.value},
         {"cause",
          attempt.cause == relay::AttemptCause::kHedge ? "hedge" : "retry"},
         {"elapsed_ms", Milliseconds(BootTime() - active.state.received)}});
  }
  relay::PoolServer* server = relay::FindServer(*attempt.pool, attempt.server);
  if (ConnectionPtr connection = connections_.Acquire(*attempt.pool, *server,
                                                      active.state.rank, key)) {
    Transmit(key, connection);
  }
}

void EntryShard::Transmit(AttemptKey key, const ConnectionPtr& connection) {
  InFlightAttempt& in_flight_attempt = in_flight_.at(key);
  ActiveRequest& active = *active_.at(in_flight_attempt.active);
  const routes::Route& route = *active.state.route;
  const SteadyTime now = BootTime();
  Increment(metrics_, Counter::kAttemptsSent);
  in_flight_attempt.connection = connection;
  in_flight_attempt.sent_at = now;
  in_flight_attempt.close_at = active.state.answer_deadline + kReplyGracePeriod;
  in_flight_attempt.typical = relay::TypicalTime(
      *in_flight_attempt.pool, policy_, route.rank, route.target_latency);
  if (auto* server = relay::FindServer(*in_flight_attempt.pool,
                                       in_flight_attempt.server)) {
    ++server->stats.outstanding;
  }
  transport::Request request = active.request;
  const OrganisationName organisation = active.organisation != nullptr
                                            ? active.organisation->name
                                            : OrganisationName();
  codec_.set_attempt_fields(request, in_flight_attempt.server,
                            active.state.answer_deadline - now, organisation);
  transport::ServerConnection::InterimHandler on_interim;
  if (IsForward(in_flight_attempt)) {
    const relay::RequestPart& part =
        relay::PartOf(active.state, in_flight_attempt.attempt);
    SetGatherCall(
        request,
        {now - active.state.received, active.table->set.version,
         route.attempts - part.unacknowledged, part.group, organisation});
    on_interim = [this, key](const transport::Response& header) {
      std::lock_guard lock(mutex_);
      OnInterim(key, header);
    };
  }
  connection->Send(
      std::move(request), kMaxReplyBytes,
      [this, key](transport::Reply reply) {
        std::lock_guard lock(mutex_);
        OnReply(key, std::move(reply));
      },
      std::move(on_interim));
  const RequestNumber number = in_flight_attempt.active;
  ApplyEffects(number,
               relay::OnAttemptSent(active.state, in_flight_attempt.attempt,
                                    Context(), now));
}

void EntryShard::Drop(ActiveRequest& active, const relay::AttemptToDrop& drop) {
  auto it = active.in_flight.find(drop.number);
  if (it == active.in_flight.end()) {
    return;
  }
  const AttemptKey key = it->second;
  active.in_flight.erase(it);
  InFlightAttempt& in_flight_attempt = in_flight_.at(key);
  in_flight_attempt.active = 0;
  Increment(metrics_, Counter::kAttemptsCancelled);
  if (!in_flight_attempt.connection) {
    connections_.CancelWait(*in_flight_attempt.pool, in_flight_attempt.server,
                            key);
    in_flight_.erase(key);
  } else if (drop.close) {
    const InFlightAttempt ended = RemoveAttempt(key);
    auto* server = relay::FindServer(*ended.pool, ended.server);
    if (drop.unacknowledged && server != nullptr) {
      const SteadyTime now = BootTime();
      relay::RecordResult(server->stats, policy_, relay::AttemptResult::kSilent,
                          ended.sent_at, ended.typical, now);
      RecordGatherResult(ended.server, /*replied=*/false);
      Increment(metrics_, Counter::kGatherNodesSilent);
      telemetry::LogEvent(LogLevel::kWarning, "gather_node_silent",
                          {{"request", ended.request_id},
                           {"node", ended.server.value},
                           {"elapsed_ms", Milliseconds(now - ended.sent_at)}});
    }
    connections_.Release(*ended.pool, ended.server, ended.connection,
                         /*reusable=*/false);
  }
}

EntryShard::InFlightAttempt EntryShard::RemoveAttempt(AttemptKey key) {
  auto it = in_flight_.find(key);
  InFlightAttempt in_flight_attempt = std::move(it->second);
  in_flight_.erase(it);
  if (auto* server = relay::FindServer(*in_flight_attempt.pool,
                                       in_flight_attempt.server)) {
    if (in_flight_attempt.connection) {
      --server->stats.outstanding;
    }
    if (in_flight_attempt.overdue) {
      --server->stats.overdue;
    }
  }
  if (in_flight_attempt.active != 0) {
    active_.at(in_flight_attempt.active)
        ->in_flight.erase(in_flight_attempt.attempt);
  }
  return in_flight_attempt;
}

void EntryShard::OnReply(AttemptKey key, transport::Reply reply) {
  auto it = in_flight_.find(key);
  if (it == in_flight_.end()) {
    return;
  }
  InFlightAttempt& in_flight_attempt = it->second;
  if (reply.status != transport::ReplyStatus::kComplete) {
    if (reply.status == transport::ReplyStatus::kConnectionLost) {
      RecordLostRun(in_flight_attempt, BootTime());
    }
    OnLost(key, relay::AttemptResult::kLost, LossCause(reply.status));
    return;
  }
  const std::string answered = codec_.reply_request_id(reply.response);
  if (answered.empty() || answered == in_flight_attempt.request_id) {
    OnMatchingReply(key, std::move(reply));
    return;
  }
  Increment(metrics_, Counter::kForeignReplies);
  telemetry::LogEvent(LogLevel::kWarning, "foreign_reply",
                      {{"request", in_flight_attempt.request_id},
                       {"reply_to", answered},
                       {"server", in_flight_attempt.server.value}});
  if (++in_flight_attempt.mismatched_replies > kMaxMismatchedReplies) {
    OnLost(key, relay::AttemptResult::kLost, "reply");
    return;
  }
  in_flight_attempt.connection->ReadNextReply(
      kMaxReplyBytes, [this, key](transport::Reply another) {
        std::lock_guard lock(mutex_);
        OnReply(key, std::move(another));
      });
}

void EntryShard::OnMatchingReply(AttemptKey key, transport::Reply reply) {
  relay::ServerReply decoded = IsForward(in_flight_.at(key))
                                   ? ReadGatherReply(reply.response)
                                   : codec_.parse_reply(reply.response);
  if (decoded.kind == relay::ReplyKind::kUnusable) {
    OnLost(key, relay::AttemptResult::kLost, "reply");
    return;
  }
  InFlightAttempt in_flight_attempt = RemoveAttempt(key);
  OnServerReplied(in_flight_attempt.server);
  if (IsForward(in_flight_attempt)) {
    RecordGatherResult(
        in_flight_attempt.server,
        /*replied=*/decoded.kind != relay::ReplyKind::kNotRun || decoded.rest);
  }
  const SteadyTime now = BootTime();
  if (auto* server = relay::FindServer(*in_flight_attempt.pool,
                                       in_flight_attempt.server)) {
    relay::RecordResult(server->stats, policy_, ResultOf(decoded.kind),
                        in_flight_attempt.sent_at, in_flight_attempt.typical,
                        now);
    if (decoded.load) {
      relay::RecordLoad(server->stats, *decoded.load, now);
      if (decoded.kind == relay::ReplyKind::kSuccess) {
        relay::RecordObservedTime(server->stats.report,
                                  in_flight_attempt.sent_at,
                                  in_flight_attempt.typical, now);
      }
    }
    RecordStatements(*in_flight_attempt.pool, *server, decoded,
                     in_flight_attempt.sent_at, now);
    if (decoded.kind == relay::ReplyKind::kOtherServer) {
      server->usable = false;
      telemetry::LogEvent(LogLevel::kWarning, "server_replaced",
                          {{"server", in_flight_attempt.server.value},
                           {"service", in_flight_attempt.pool->service.value},
                           {"request", in_flight_attempt.request_id}});
    }
  }
  if (decoded.kind == relay::ReplyKind::kSuccess) {
    relay::RecordReplyTime(*in_flight_attempt.pool, policy_,
                           in_flight_attempt.times_rank,
                           now - in_flight_attempt.sent_at, now);
  }
  connections_.Release(
      *in_flight_attempt.pool, in_flight_attempt.server,
      in_flight_attempt.connection,
      reply.reusable && in_flight_attempt.mismatched_replies == 0);
  auto it = active_.find(in_flight_attempt.active);
  if (in_flight_attempt.active == 0 || it == active_.end()) {
    return;
  }
  ActiveRequest& active = *it->second;
  if (!active.state.IsPassedOn() &&
      (decoded.kind == relay::ReplyKind::kSuccess ||
       decoded.kind == relay::ReplyKind::kFailure)) {
    RecordAnswer(active, now);
  }
  if (active.state.IsPassedOn()) {
    // The reply was decoded as a whole.
  } else if (active.state.IsGathered()) {
    decoded.body = std::move(reply.response.body());
  } else {
    active.replied_attempt = in_flight_attempt.attempt;
    active.reply = std::move(reply.response);
  }
  ApplyEffects(in_flight_attempt.active,
               relay::OnAttemptReply(active.state, in_flight_attempt.attempt,
                                     std::move(decoded), Context(), now));
  it = active_.find(in_flight_attempt.active);
  if (it != active_.end()) {
    HoldReplies(*it->second);
  }
}

void EntryShard::HoldReplies(ActiveRequest& active) {
  size_t bytes = active.reply.body().capacity();
  for (const relay::RequestPart& it : active.state.parts) {
    bytes += it.body.capacity();
  }
  if (active.held_replies.size() == 0) {
    active.held_replies.Start(&reply_memory_, "route " + active.route->name,
                              [this, number = active.number] {
                                thread_.Post([this, number] {
                                  std::lock_guard lock(mutex_);
                                  GiveUpReplies(number);
                                });
                              });
  }
  active.held_replies.Resize(bytes);
}

void EntryShard::GiveUpReplies(RequestNumber number) {
  auto it = active_.find(number);
  if (it != active_.end()) {
    ApplyEffects(number,
                 relay::OnRepliesGivenUp(it->second->state, BootTime()));
  }
}

void EntryShard::RecordStatements(relay::ServicePool& pool,
                                  relay::PoolServer& server,
                                  const relay::ServerReply& reply,
                                  SteadyTime sent_at,
                                  SteadyTime now) {
  if (reply.has_malformed_statement || reply.has_malformed_load) {
    Increment(metrics_, Counter::kServerStatementsMalformed);
    telemetry::LogEvent(LogLevel::kWarning, "server_statement_malformed",
                        {{"server", server.id.value}});
  }
  if (!reply.has_malformed_statement) {
    RecordLimit(server, reply.request_limit, sent_at, now);
  }
  ServerNotice notice;
  notice.server = server.id;
  notice.incarnation = server.incarnation;
  notice.leaving = reply.leaving;
  notice.rest = reply.rest.value_or(Duration::zero());
  if (notice.leaving || notice.rest > Duration::zero()) {
    ApplyNotice(pool, server, notice, now);
    on_notice_(notice);
  } else if (server.notices.rests_until) {
    relay::RecordAwake(server.notices, sent_at);
    if (!server.notices.rests_until) {
      telemetry::LogEvent(
          LogLevel::kInfo, "server_awake",
          {{"server", server.id.value}, {"service", pool.service.value}});
    }
  }
}

void EntryShard::RecordLimit(relay::PoolServer& server,
                             std::optional<double> per_second,
                             SteadyTime sent_at,
                             SteadyTime now) {
  const std::optional<double> before = server.request_limit.per_second;
  relay::RecordLimit(server.request_limit, per_second, sent_at, now);
  const std::optional<double> after = server.request_limit.per_second;
  if (before == after) {
    return;
  }
  telemetry::LogEvent(LogLevel::kInfo,
                      after ? "server_limited" : "server_limit_lifted",
                      {{"server", server.id.value},
                       {"service", records_.at(server.id).service.value},
                       {"per_second", std::to_string(after.value_or(0))},
                       {"share", std::to_string(server.request_limit.share)}});
}

void EntryShard::ApplyNotice(relay::ServicePool& pool,
                             relay::PoolServer& server,
                             const ServerNotice& notice,
                             SteadyTime now) {
  if (notice.rest > Duration::zero()) {
    if (!IsResting(server.notices, now)) {
      telemetry::LogEvent(LogLevel::kInfo, "server_resting",
                          {{"server", server.id.value},
                           {"service", pool.service.value},
                           {"rest_ms", Milliseconds(notice.rest)}});
    }
    relay::RecordRest(server.notices, notice.rest, now);
  }
  if (notice.leaving && !server.notices.leaving_since) {
    server.notices.leaving_since = now;
    server.usable = false;
    telemetry::LogEvent(
        LogLevel::kInfo, "server_leaving",
        {{"server", server.id.value}, {"service", pool.service.value}});
  }
  // Attempts that wait for a connection to the server go elsewhere.
  connections_.CancelAllWaits(server);
}

void EntryShard::OnNotice(const ServerNotice& notice) {
  thread_.Post([this, notice] {
    std::lock_guard lock(mutex_);
    auto record = records_.find(notice.server);
    if (record == records_.end()) {
      return;
    }
    relay::ServicePool& pool = PoolOf(record->second.service);
    relay::PoolServer* server = relay::FindServer(pool, notice.server);
    if (server != nullptr && server->incarnation == notice.incarnation) {
      ApplyNotice(pool, *server, notice, BootTime());
    }
  });
}

void EntryShard::OnLost(AttemptKey key,
                        relay::AttemptResult result,
                        const std::string& cause) {
  const InFlightAttempt in_flight_attempt = RemoveAttempt(key);
  const SteadyTime now = BootTime();
  if (auto* server = relay::FindServer(*in_flight_attempt.pool,
                                       in_flight_attempt.server)) {
    relay::RecordResult(server->stats, policy_, result,
                        in_flight_attempt.sent_at, in_flight_attempt.typical,
                        now);
  }
  if (IsForward(in_flight_attempt)) {
    RecordGatherResult(in_flight_attempt.server, /*replied=*/false);
  }
  Increment(metrics_, Counter::kAttemptsFailed);
  telemetry::LogEvent(
      LogLevel::kWarning, "attempt_lost",
      {{"request", in_flight_attempt.request_id},
       {"server", in_flight_attempt.server.value},
       {"service", in_flight_attempt.pool->service.value},
       {"cause", cause},
       {"elapsed_ms", Milliseconds(now - in_flight_attempt.sent_at)}});
  connections_.Release(*in_flight_attempt.pool, in_flight_attempt.server,
                       in_flight_attempt.connection,
                       /*reusable=*/false);
  if (lost_runs_.contains(in_flight_attempt.server)) {
    connections_.Probe(*in_flight_attempt.pool, in_flight_attempt.server);
  }
  auto it = active_.find(in_flight_attempt.active);
  if (in_flight_attempt.active != 0 && it != active_.end()) {
    ApplyEffects(
        in_flight_attempt.active,
        relay::OnAttemptFailed(it->second->state, in_flight_attempt.attempt,
                               Context(), now));
  }
}

void EntryShard::OnNoConnection(AttemptKey key) {
  const InFlightAttempt in_flight_attempt = RemoveAttempt(key);
  auto it = active_.find(in_flight_attempt.active);
  if (it != active_.end()) {
    ApplyEffects(
        in_flight_attempt.active,
        relay::OnAttemptFailed(it->second->state, in_flight_attempt.attempt,
                               Context(), BootTime()));
  }
}

}  // namespace gooseberryrock::entry
