// One I/O shard of an entry node.

#include "entry_shard.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/directory/connection_share.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/connection_fields.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

// Connections are opened and closed, and silent attempts given up, this often.
constexpr Duration kSweepInterval = std::chrono::milliseconds(200);
// An attempt that no one waits for is given up this long after the time that
// the server was told; a paused server has answered by then.
constexpr Duration kSilenceMargin = std::chrono::milliseconds(300);
// Connections that are kept open ahead to each server.
constexpr uint32_t kReadyOwnDomain = 2;
constexpr uint32_t kReadyOtherDomain = 1;
// Replies larger than this are refused as malformed.
constexpr size_t kMaxReplyBytes = size_t{8} << 20U;
// Replies to other requests that are read before the right one.
constexpr uint32_t kMostForeignReplies = 2;
// After its start a node hears of all servers within this time: they announce
// themselves about every second, some only to a VM that is just starting.
constexpr Duration kLearningTime = std::chrono::seconds(3);
// Requests that wait while the node learns, and the part of the caller's
// patience that they wait: a caller that is refused then has time to try again.
constexpr size_t kMostParked = 512;
constexpr double kParkedShare = 0.3;
// What a caller is told when no routes are known yet: a control VM is asked
// several times in this time.
constexpr Duration kNoRoutesRetryAfter = std::chrono::milliseconds(500);

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

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
    case relay::RefusalReason::kNotInTime:
      return "not_in_time";
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
  }
  return "unknown";
}

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

struct EntryShard::Active {
  ActiveNumber number = 0;
  std::shared_ptr<transport::Exchange> exchange;
  // Holds the route of `state`.
  RouteTablePtr table;
  CallerRequest caller;
  // What is sent to servers, without the fields of one attempt.
  transport::Request request;
  relay::RequestState state;
  std::map<relay::AttemptNumber, AttemptKey> flights;
  // The last reply of a relayed request, and the attempt that it answers.
  relay::AttemptNumber replied_attempt = 0;
  transport::Response reply;
  std::optional<std::multimap<SteadyTime, ActiveNumber>::iterator> timer;
};

struct EntryShard::Flight {
  // 0 when no one waits for the reply.
  ActiveNumber active = 0;
  relay::AttemptNumber attempt = 0;
  relay::ServicePool* pool = nullptr;
  BackendServerId server;
  Rank rank = Rank::kNormal;
  Duration typical = Duration::zero();
  // Of the request, for the check of the reply.
  std::string request_id;
  // Null while it waits for a connection.
  ConnectionPtr connection;
  SteadyTime sent_at;
  SteadyTime give_up_at;
  bool overdue = false;
  uint32_t foreign_replies = 0;
};

EntryShard::EntryShard(transport::IoThread& thread,
                       const Dialect& dialect,
                       const relay::RelayPolicy& policy,
                       unsigned shards)
    : thread_(thread),
      dialect_(dialect),
      policy_(policy),
      shards_(shards),
      random_(std::random_device{}()),
      links_(thread.context(),
             {[this](const std::function<void()>& it) {
                std::lock_guard lock(mutex_);
                it();
              },
              [this](AttemptKey key, const ConnectionPtr& connection) {
                Transmit(key, connection);
              },
              [this](AttemptKey key) { OnNoConnection(key); },
              [this](relay::ServicePool& pool, const BackendServerId& id) {
                if (auto* server = relay::FindServer(pool, id)) {
                  const SteadyTime now = BootTime();
                  relay::RecordResult(server->stats, policy_,
                                      relay::AttemptResult::kLost, now,
                                      Duration::zero(), now);
                  telemetry::LogEvent(
                      LogLevel::kWarning, "server_connect_failed",
                      {{"server", id.value},
                       {"service", pool.service.value},
                       {"failures_in_row",
                        std::to_string(server->stats.failures_in_row)}});
                }
              }}),
      started_(BootTime()),
      timer_(thread.context()) {
  thread_.Every(kSweepInterval, [this] {
    std::lock_guard lock(mutex_);
    Sweep();
  });
}

EntryShard::~EntryShard() = default;

void EntryShard::Handle(std::shared_ptr<transport::Exchange> exchange) {
  std::lock_guard lock(mutex_);
  Admit(std::move(exchange));
}

bool EntryShard::IsLearning(SteadyTime now) const {
  return now - started_ < kLearningTime;
}

bool EntryShard::KnowsServers(const routes::Route& route) {
  const auto has_usable = [](const relay::ServicePool* pool) {
    return std::any_of(pool->servers.begin(), pool->servers.end(),
                       [](const relay::PoolServer& it) { return it.usable; });
  };
  const auto* weighted = std::get_if<routes::WeightedTarget>(&route.target);
  if (weighted != nullptr) {
    return std::all_of(weighted->services.begin(), weighted->services.end(),
                       [&](const routes::WeightedService& it) {
                         return has_usable(&PoolOf(it.service));
                       });
  }
  const auto pools = PoolsOf(route);
  return std::all_of(pools.begin(), pools.end(), has_usable);
}

void EntryShard::Park(std::shared_ptr<transport::Exchange> exchange,
                      const CallerRequest& caller) {
  const Duration patience = caller.patience.value_or(kLearningTime);
  const SteadyTime until =
      exchange->received_at() +
      std::chrono::duration_cast<Duration>(patience * kParkedShare);
  parked_.push_back({std::move(exchange), until});
}

void EntryShard::RetryParked() {
  std::vector<Parked> parked;
  parked.swap(parked_);
  for (Parked& it : parked) {
    if (!it.exchange->IsCallerGone()) {
      Admit(std::move(it.exchange));
    }
  }
}

void EntryShard::Admit(std::shared_ptr<transport::Exchange> exchange) {
  CallerRequest caller = dialect_.read_request(exchange->request());
  const SteadyTime now = BootTime();
  const bool may_wait =
      IsLearning(now) && parked_.size() < kMostParked &&
      now < exchange->received_at() +
                std::chrono::duration_cast<Duration>(
                    caller.patience.value_or(kLearningTime) * kParkedShare);
  if (!table_ && may_wait) {
    Park(std::move(exchange), caller);
    return;
  }
  if (!table_) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", caller.id}, {"reason", "no_routes"}});
    exchange->Respond(dialect_.refused(
        {relay::RefusalReason::kNoServer, kNoRoutesRetryAfter}));
    return;
  }
  const auto target = exchange->request().target();
  const routes::Route* route =
      routes::FindRoute(*table_, caller.host, {target.data(), target.size()});
  if (route == nullptr) {
    telemetry::LogEvent(
        LogLevel::kWarning, "request_without_route",
        {{"request", caller.id},
         {"host", caller.host},
         {"routes_version", std::to_string(table_->set.version)}});
    exchange->Respond(dialect_.no_route());
    return;
  }
  if (may_wait && !KnowsServers(*route)) {
    Park(std::move(exchange), caller);
    return;
  }
  Start(std::move(exchange), std::move(caller), *route);
}

relay::ServicePool& EntryShard::PoolOf(const ServiceName& service) {
  auto it = pools_.find(service);
  if (it == pools_.end()) {
    it = pools_.emplace(service, relay::MakePool(service, policy_)).first;
  }
  return it->second;
}

std::vector<relay::ServicePool*> EntryShard::PoolsOf(
    const routes::Route& route) {
  std::vector<relay::ServicePool*> pools;
  if (const auto* single = std::get_if<routes::SingleTarget>(&route.target)) {
    pools.push_back(&PoolOf(single->service));
  } else if (const auto* sharded =
                 std::get_if<routes::ShardedTarget>(&route.target)) {
    for (const ServiceName& it : sharded->shards) {
      pools.push_back(&PoolOf(it));
    }
  } else {
    const auto& weighted = std::get<routes::WeightedTarget>(route.target);
    const size_t i = relay::ChooseWeighted(weighted, credits_[route.name]);
    pools.push_back(&PoolOf(weighted.services[i].service));
  }
  return pools;
}

void EntryShard::Start(std::shared_ptr<transport::Exchange> exchange,
                       CallerRequest caller,
                       const routes::Route& route) {
  const ActiveNumber number = next_active_++;
  const SteadyTime received = exchange->received_at();
  const SteadyTime deadline =
      received + caller.patience.value_or(route.timeout);
  auto active = std::make_unique<Active>();
  active->number = number;
  active->table = table_;
  active->caller = std::move(caller);
  active->state =
      relay::MakeRequest(route, PoolsOf(route), policy_, received, deadline);
  active->request = std::move(exchange->request());

  transport::RemoveConnectionFields(active->request);
  active->request.version(11);
  active->request.prepare_payload();
  exchange->OnCallerGone([this, number] {
    std::lock_guard lock(mutex_);
    OnGone(number);
  });
  active->exchange = std::move(exchange);
  Active& added = *active;
  active_.emplace(number, std::move(active));
  Apply(number, relay::StartRequest(added.state, Context(), BootTime()));
}

void EntryShard::Apply(ActiveNumber number, relay::RequestEffects effects) {
  auto it = active_.find(number);
  if (it == active_.end()) {
    return;
  }
  Active& active = *it->second;
  for (relay::AttemptNumber overdue : effects.overdue) {
    Flight& flight = flights_.at(active.flights.at(overdue));
    flight.overdue = true;
    if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
      ++server->stats.overdue;
    }
  }
  for (const relay::AttemptToDrop& drop : effects.drop) {
    Drop(active, drop);
  }
  if (effects.outcome) {
    Finish(number, std::move(*effects.outcome));
    return;
  }
  SetTimer(active, effects.next_timer);
  for (const relay::AttemptToSend& attempt : effects.send) {
    Send(number, attempt);
    // A send may end the request.
    if (!active_.contains(number)) {
      return;
    }
  }
}

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
  flight.connection = connection;
  flight.sent_at = now;
  flight.give_up_at = active.state.final_at + kSilenceMargin;
  flight.typical = relay::TypicalTime(*flight.pool, policy_, route.rank,
                                      route.target_latency);
  if (auto* server = relay::FindServer(*flight.pool, flight.server)) {
    ++server->stats.outstanding;
  }
  transport::Request request = active.request;
  dialect_.address_request(request, flight.server, active.state.final_at - now);
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

void EntryShard::OnGone(ActiveNumber number) {
  auto it = active_.find(number);
  if (it == active_.end()) {
    return;
  }
  Active& active = *it->second;
  telemetry::LogEvent(
      LogLevel::kInfo, "caller_gone",
      {{"request", active.caller.id},
       {"route", active.state.route->name},
       {"elapsed_ms", Milliseconds(BootTime() - active.state.received)}});
  for (const auto& drop : relay::OnCallerGone(active.state).drop) {
    Drop(active, drop);
  }
  SetTimer(active, std::nullopt);
  active_.erase(it);
}

void EntryShard::LogOutcome(const Active& active,
                            const relay::Outcome& outcome) {
  const relay::RequestState& state = active.state;
  const std::string elapsed = Milliseconds(BootTime() - state.received);
  if (const auto* refused = std::get_if<relay::RefusedOutcome>(&outcome)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", active.caller.id},
                         {"route", state.route->name},
                         {"reason", ReasonName(refused->reason)},
                         {"retry_after_ms", Milliseconds(refused->retry_after)},
                         {"elapsed_ms", elapsed}});
  } else if (const auto* failed = std::get_if<relay::FailedOutcome>(&outcome)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_failed",
                        {{"request", active.caller.id},
                         {"route", state.route->name},
                         {"reason", ReasonName(failed->reason)},
                         {"answered", std::to_string(state.parts_answered)},
                         {"elapsed_ms", elapsed}});
  } else if (const auto* gathered =
                 std::get_if<relay::GatheredOutcome>(&outcome)) {
    if (gathered->missing_shards > 0) {
      telemetry::LogEvent(
          LogLevel::kInfo, "answer_partial",
          {{"request", active.caller.id},
           {"route", state.route->name},
           {"missing", std::to_string(gathered->missing_shards)},
           {"settled_early", gathered->settled_early ? "true" : "false"},
           {"elapsed_ms", elapsed}});
    }
  }
}

void EntryShard::Finish(ActiveNumber number, relay::Outcome outcome) {
  auto it = active_.find(number);
  std::unique_ptr<Active> active = std::move(it->second);
  active_.erase(it);
  SetTimer(*active, std::nullopt);
  LogOutcome(*active, outcome);
  transport::Response response;
  if (auto* gathered = std::get_if<relay::GatheredOutcome>(&outcome)) {
    response = dialect_.gathered(std::move(*gathered));
  } else if (const auto* refused =
                 std::get_if<relay::RefusedOutcome>(&outcome)) {
    response = dialect_.refused(*refused);
  } else if (const auto* failed = std::get_if<relay::FailedOutcome>(&outcome)) {
    response = dialect_.failed(*failed);
  } else {
    response = std::move(active->reply);
    transport::RemoveConnectionFields(response);
    response.version(11);
  }
  active->exchange->Respond(std::move(response));
}

void EntryShard::SetTimer(Active& active, std::optional<SteadyTime> at) {
  if (active.timer) {
    if (at && (*active.timer)->first == *at) {
      return;
    }
    timers_.erase(*active.timer);
    active.timer.reset();
  }
  if (!at) {
    return;
  }
  active.timer = timers_.emplace(*at, active.number);
  ArmTimer();
}

void EntryShard::ArmTimer() {
  if (timers_.empty()) {
    return;
  }
  const SteadyTime first = timers_.begin()->first;
  if (armed_ && *armed_ <= first) {
    return;
  }
  armed_ = first;
  timer_.expires_after(std::max(Duration::zero(), first - BootTime()));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      std::lock_guard lock(mutex_);
      armed_.reset();
      OnTimer();
    }
  });
}

void EntryShard::OnTimer() {
  const SteadyTime now = BootTime();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const ActiveNumber number = timers_.begin()->second;
    Active& active = *active_.at(number);
    timers_.erase(timers_.begin());
    active.timer.reset();
    Apply(number, relay::OnRequestTimer(active.state, Context(), now));
  }
  ArmTimer();
}

void EntryShard::Sweep() {
  const SteadyTime now = BootTime();
  std::vector<AttemptKey> silent;
  for (const auto& [key, flight] : flights_) {
    if (flight.connection && now >= flight.give_up_at) {
      silent.push_back(key);
    }
  }
  for (AttemptKey key : silent) {
    if (flights_.contains(key)) {
      OnLost(key, relay::AttemptResult::kSilent);
    }
  }
  RetryParked();
  for (auto& [service, pool] : pools_) {
    for (relay::PoolServer& it : pool.servers) {
      const bool ahead = it.usable && it.stats.failures_in_row == 0;
      links_.Maintain(pool, it,
                      !ahead          ? 0
                      : it.own_domain ? kReadyOwnDomain
                                      : kReadyOtherDomain);
    }
    std::erase_if(pool.servers, [](const relay::PoolServer& it) {
      return !it.usable && it.connections == 0 && it.queued == 0 &&
             it.stats.outstanding == 0;
    });
  }
}

void EntryShard::PutRoutes(RouteTablePtr table) {
  thread_.Post([this, table = std::move(table)] {
    std::lock_guard lock(mutex_);
    table_ = table;
    ApplyShares();
    RetryParked();
  });
}

void EntryShard::PutServers(std::vector<ServerChange> changes) {
  thread_.Post([this, changes = std::move(changes)] {
    std::lock_guard lock(mutex_);
    for (const ServerChange& it : changes) {
      PutServer(it);
    }
    RetryParked();
  });
}

void EntryShard::PutPlan(ConnectionPlan plan) {
  thread_.Post([this, plan = std::move(plan)] {
    std::lock_guard lock(mutex_);
    plan_ = plan;
    ApplyShares();
  });
}

void EntryShard::PutServer(const ServerChange& change) {
  const directory::ServerRecord& record = change.record;
  auto known = records_.find(record.id);
  const bool restarted = known != records_.end() &&
                         known->second.incarnation != record.incarnation;
  if (known != records_.end() && known->second.service != record.service) {
    // A server that has gone may be reported without its service.
    relay::ServicePool& earlier = PoolOf(known->second.service);
    if (auto* server = relay::FindServer(earlier, record.id)) {
      server->usable = false;
      links_.Maintain(earlier, *server, 0);
    }
  }
  records_[record.id] = record;
  relay::ServicePool& pool = PoolOf(record.service);
  relay::PoolServer* server = relay::FindServer(pool, record.id);
  if (server == nullptr) {
    if (!change.usable) {
      return;
    }
    server = &pool.servers.emplace_back();
    server->id = record.id;
  }
  if (server->usable != change.usable || restarted) {
    telemetry::LogEvent(
        LogLevel::kInfo, "server_changed",
        {{"server", record.id.value},
         {"service", record.service.value},
         {"state", std::string(directory::ServerStateName(record.state))},
         {"usable", change.usable ? "true" : "false"},
         {"incarnation", std::to_string(record.incarnation)}});
  }
  if (restarted) {
    const uint32_t outstanding = server->stats.outstanding;
    const uint32_t overdue = server->stats.overdue;
    server->stats = {};
    server->stats.outstanding = outstanding;
    server->stats.overdue = overdue;
  }
  server->incarnation = record.incarnation;
  server->host = record.host;
  server->port = record.port;
  server->slots = record.slots;
  server->own_domain = record.failure_domain == plan_.place.domain;
  server->connection_share = ShareOf(record);
  server->usable = change.usable;
  if (!change.usable) {
    links_.Maintain(pool, *server, 0);
  }
}

uint32_t EntryShard::ShareOf(const directory::ServerRecord& record) const {
  uint32_t limit = 1;
  if (table_) {
    auto it = table_->set.services.find(record.service);
    if (it != table_->set.services.end()) {
      limit = it->second.connection_limit;
    }
  }
  const uint32_t share = directory::ConnectionShare(
      limit, plan_.reservation, record.failure_domain, plan_.place);
  return share == 0 ? 1 : std::max(1U, share / shards_);
}

void EntryShard::ApplyShares() {
  for (auto& [service, pool] : pools_) {
    for (relay::PoolServer& it : pool.servers) {
      const directory::ServerRecord& record = records_.at(it.id);
      it.own_domain = record.failure_domain == plan_.place.domain;
      it.connection_share = ShareOf(record);
    }
  }
}

}  // namespace gooseberryrock::entry
