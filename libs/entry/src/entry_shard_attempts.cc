// One I/O shard of an entry node: attempts at backend servers.

#include <utility>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/server_connection.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Counter;
using telemetry::LogLevel;

// An attempt that no one waits for is given up this long after the time that
// the server was told; a paused server has answered by then.
constexpr Duration kSilenceMargin = std::chrono::milliseconds(300);
// Replies larger than this are refused as malformed.
constexpr size_t kMaxReplyBytes = size_t{8} << 20U;
// Replies to other requests that are read before the right one.
constexpr uint32_t kMostForeignReplies = 2;

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

}  // namespace

void EntryShard::Send(ActiveNumber number,
                      const relay::AttemptToSend& attempt) {
  Active& active = *active_.at(number);
  const AttemptKey key = next_flight_++;
  Flight flight;
  flight.active = number;
  flight.attempt = attempt.number;
  flight.pool = attempt.pool;
  flight.server = attempt.server;
  flight.rank = active.state.route->rank;
  flight.request_id = active.caller.id;
  active.flights[attempt.number] = key;
  flights_.emplace(key, std::move(flight));
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
  if (ConnectionPtr connection = links_.Acquire(
          *attempt.pool, *server, active.state.route->rank, key)) {
    Transmit(key, connection);
  }
}

void EntryShard::Transmit(AttemptKey key, const ConnectionPtr& connection) {
  Flight& flight = flights_.at(key);
  Active& active = *active_.at(flight.active);
  const routes::Route& route = *active.state.route;
  const SteadyTime now = BootTime();
  Increment(metrics_, Counter::kAttemptsSent);
  flight.connection = connection;
  flight.sent_at = now;
  flight.give_up_at = active.state.answer_deadline + kSilenceMargin;
  flight.typical = relay::TypicalTime(*flight.pool, policy_, route.rank,
                                      route.target_latency);
  if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
    ++server->stats.outstanding;
  }
  transport::Request request = active.request;
  dialect_.address_request(request, flight.server,
                           active.state.answer_deadline - now);
  connection->Send(std::move(request), kMaxReplyBytes,
                   [this, key](transport::Reply reply) {
                     std::lock_guard lock(mutex_);
                     OnReply(key, std::move(reply));
                   });
  const ActiveNumber number = flight.active;
  Apply(number,
        relay::OnAttemptSent(active.state, flight.attempt, Context(), now));
}

void EntryShard::Drop(Active& active, const relay::AttemptToDrop& drop) {
  auto it = active.flights.find(drop.number);
  if (it == active.flights.end()) {
    return;
  }
  const AttemptKey key = it->second;
  active.flights.erase(it);
  Flight& flight = flights_.at(key);
  flight.active = 0;
  Increment(metrics_, Counter::kAttemptsCancelled);
  if (!flight.connection) {
    links_.CancelWait(*flight.pool, flight.server, key);
    flights_.erase(key);
  } else if (drop.close) {
    const Flight ended = End(key);
    links_.Release(*ended.pool, ended.server, ended.connection,
                   /*reusable=*/false);
  }
}

EntryShard::Flight EntryShard::End(AttemptKey key) {
  auto it = flights_.find(key);
  Flight flight = std::move(it->second);
  flights_.erase(it);
  if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
    if (flight.connection) {
      --server->stats.outstanding;
    }
    if (flight.overdue) {
      --server->stats.overdue;
    }
  }
  if (flight.active != 0) {
    active_.at(flight.active)->flights.erase(flight.attempt);
  }
  return flight;
}

void EntryShard::OnReply(AttemptKey key, transport::Reply reply) {
  auto it = flights_.find(key);
  if (it == flights_.end()) {
    return;
  }
  if (reply.status != transport::ReplyStatus::kComplete) {
    OnLost(key, relay::AttemptResult::kLost);
    return;
  }
  Flight& flight = it->second;
  const std::string answered = dialect_.reply_request_id(reply.response);
  if (answered.empty() || answered == flight.request_id) {
    OnWholeReply(key, std::move(reply));
    return;
  }
  Increment(metrics_, Counter::kForeignReplies);
  telemetry::LogEvent(LogLevel::kWarning, "foreign_reply",
                      {{"request", flight.request_id},
                       {"reply_to", answered},
                       {"server", flight.server.value}});
  if (++flight.foreign_replies > kMostForeignReplies) {
    OnLost(key, relay::AttemptResult::kLost);
    return;
  }
  flight.connection->ReadAnother(kMaxReplyBytes,
                                 [this, key](transport::Reply another) {
                                   std::lock_guard lock(mutex_);
                                   OnReply(key, std::move(another));
                                 });
}

void EntryShard::OnWholeReply(AttemptKey key, transport::Reply reply) {
  relay::ServerReply decoded = dialect_.read_reply(reply.response);
  if (decoded.kind == relay::ReplyKind::kUnusable) {
    OnLost(key, relay::AttemptResult::kLost);
    return;
  }
  Flight flight = End(key);
  const SteadyTime now = BootTime();
  if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
    relay::RecordResult(server->stats, policy_, ResultOf(decoded.kind),
                        flight.sent_at, flight.typical, now);
    if (decoded.load) {
      relay::RecordLoad(server->stats, *decoded.load, now);
    }
    if (decoded.kind == relay::ReplyKind::kOtherServer) {
      server->usable = false;
      telemetry::LogEvent(LogLevel::kWarning, "server_replaced",
                          {{"server", flight.server.value},
                           {"service", flight.pool->service.value},
                           {"request", flight.request_id}});
    }
  }
  if (decoded.kind == relay::ReplyKind::kSuccess) {
    relay::RecordReplyTime(*flight.pool, policy_, flight.rank,
                           now - flight.sent_at, now);
  }
  links_.Release(*flight.pool, flight.server, flight.connection,
                 reply.reusable && flight.foreign_replies == 0);
  auto it = active_.find(flight.active);
  if (flight.active == 0 || it == active_.end()) {
    return;
  }
  Active& active = *it->second;
  if (active.state.IsGathered()) {
    decoded.body = std::move(reply.response.body());
  } else {
    active.replied_attempt = flight.attempt;
    active.reply = std::move(reply.response);
  }
  Apply(flight.active,
        relay::OnAttemptReply(active.state, flight.attempt, std::move(decoded),
                              Context(), now));
}

void EntryShard::OnLost(AttemptKey key, relay::AttemptResult result) {
  const Flight flight = End(key);
  const SteadyTime now = BootTime();
  if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
    relay::RecordResult(server->stats, policy_, result, flight.sent_at,
                        flight.typical, now);
  }
  Increment(metrics_, Counter::kAttemptsFailed);
  telemetry::LogEvent(
      LogLevel::kWarning, "attempt_lost",
      {{"request", flight.request_id},
       {"server", flight.server.value},
       {"service", flight.pool->service.value},
       {"cause",
        result == relay::AttemptResult::kSilent ? "silent" : "connection"},
       {"elapsed_ms", Milliseconds(now - flight.sent_at)}});
  links_.Release(*flight.pool, flight.server, flight.connection,
                 /*reusable=*/false);
  auto it = active_.find(flight.active);
  if (flight.active != 0 && it != active_.end()) {
    Apply(flight.active,
          relay::OnAttemptFailed(it->second->state, flight.attempt, Context(),
                                 now));
  }
}

void EntryShard::OnNoConnection(AttemptKey key) {
  const Flight flight = End(key);
  auto it = active_.find(flight.active);
  if (it != active_.end()) {
    Apply(flight.active,
          relay::OnAttemptFailed(it->second->state, flight.attempt, Context(),
                                 BootTime()));
  }
}

}  // namespace gooseberryrock::entry
