// One I/O shard of an entry node: from the request of a caller to its answer.

#include "entry_shard.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "allotment_check.h"
#include "caller_access.h"
#include "entry_shard_state.h"
#include "gather_messages.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/relay/stop_time.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/connection_fields.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Counter;
using telemetry::LogLevel;

// Interval for maintaining connections and closing attempts without a reply.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(200);
// Time after which a starting node knows all servers: they announce themselves
// about every second, some of them only to a VM that is just starting.
constexpr Duration kDiscoveryTime = std::chrono::seconds(3);
// Maximum number of parked requests, and the fraction of the caller's timeout
// that they are parked for: a caller that is refused afterwards has time for a
// retry.
constexpr size_t kMaxParkedRequests = 512;
constexpr double kParkTimeShare = 0.3;
// Retry delay for callers while no routes are known; control VMs are polled
// several times within it.
constexpr Duration kNoRoutesRetryAfter = std::chrono::milliseconds(500);
// Retry delay for callers while the routes are not confirmed: another node, to
// which the balancer may send the caller, can be in contact.
constexpr Duration kNotConfirmedRetryAfter = std::chrono::milliseconds(100);

}  // namespace

EntryShard::EntryShard(transport::IoThread& thread,
                       const EntryCodec& codec,
                       const relay::RelayPolicy& policy,
                       unsigned shards,
                       const GatherOptions& gather,
                       Duration route_confirmation_lifetime,
                       EntryShardDependencies deps)
    : thread_(thread),
      codec_(codec),
      policy_(policy),
      shards_(shards),
      shard_index_(deps.shard_index),
      on_notice_(std::move(deps.on_notice)),
      crash_history_(deps.crash_history),
      allotments_(deps.allotments),
      reply_memory_(deps.reply_memory),
      metrics_(deps.metrics),
      random_(std::random_device{}()),
      route_confirmation_lifetime_(route_confirmation_lifetime),
      connections_(
          thread.context(),
          reply_memory_,
          {[this](const std::function<void()>& it) {
             std::lock_guard lock(mutex_);
             it();
           },
           [this](AttemptKey key, const ConnectionPtr& connection) {
             Transmit(key, connection);
           },
           [this](AttemptKey key) { OnNoConnection(key); },
           [this](relay::ServicePool& pool, const BackendServerId& id) {
             OnConnectFailed(id, BootTime());
             if (auto* server = relay::FindServer(pool, id)) {
               const SteadyTime now = BootTime();
               relay::RecordResult(server->stats, policy_,
                                   relay::AttemptResult::kLost, now,
                                   Duration::zero(), now);
               Increment(metrics_, Counter::kServerConnectsFailed);
               telemetry::LogEvent(
                   LogLevel::kWarning, "server_connect_failed",
                   {{"server", id.value},
                    {"service", pool.service.value},
                    {"failures_in_row",
                     std::to_string(server->stats.consecutive_failures)}});
             }
           }}),
      started_(BootTime()),
      gather_(gather),
      last_maintenance_(started_),
      timer_(thread.context()) {
  gather_pool_ = relay::MakeForwardPool();
  thread_.Every(kMaintenanceInterval, [this] {
    std::lock_guard lock(mutex_);
    RunMaintenance();
  });
}

EntryShard::~EntryShard() = default;

void EntryShard::Handle(std::shared_ptr<transport::Exchange> exchange) {
  std::lock_guard lock(mutex_);
  Admit(std::move(exchange));
}

bool EntryShard::IsDiscovering(SteadyTime now) const {
  return now - started_ < kDiscoveryTime;
}

bool EntryShard::KnowsServers(const routes::Route& route) {
  const auto has_usable = [](const relay::ServicePool* pool) {
    return std::any_of(
        pool->servers.begin(), pool->servers.end(),
        [](const relay::PoolServer& it) { return it.AcceptsWork(); });
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

void EntryShard::ParkRequest(std::shared_ptr<transport::Exchange> exchange,
                             const CallerRequest& caller) {
  const Duration timeout = caller.timeout.value_or(kDiscoveryTime);
  const SteadyTime until =
      exchange->received_at() +
      std::chrono::duration_cast<Duration>(timeout * kParkTimeShare);
  parked_.push_back({std::move(exchange), until});
}

void EntryShard::RetryParked() {
  std::vector<ParkedRequest> parked;
  parked.swap(parked_);
  for (ParkedRequest& it : parked) {
    if (!it.exchange->IsCallerDisconnected()) {
      Admit(std::move(it.exchange));
    }
  }
}

void EntryShard::Admit(std::shared_ptr<transport::Exchange> exchange) {
  CallerRequest caller = codec_.parse_request(exchange->request());
  const SteadyTime now = BootTime();
  const bool may_park =
      IsDiscovering(now) && parked_.size() < kMaxParkedRequests &&
      now < exchange->received_at() +
                std::chrono::duration_cast<Duration>(
                    caller.timeout.value_or(kDiscoveryTime) * kParkTimeShare);
  if (!table_ && may_park) {
    ParkRequest(std::move(exchange), caller);
    return;
  }
  if (!table_) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", caller.id}, {"reason", "no_routes"}});
    exchange->Respond(codec_.encode_refused(
        {relay::RefusalReason::kNoServer, kNoRoutesRetryAfter}));
    return;
  }
  const auto target = exchange->request().target();
  const routes::Route* route =
      routes::FindRoute(*table_, caller.host, {target.data(), target.size()});
  if (route == nullptr) {
    Increment(metrics_, Counter::kRequestsWithoutRoute);
    telemetry::LogEvent(
        LogLevel::kWarning, "request_without_route",
        {{"request", caller.id},
         {"host", caller.host},
         {"routes_version", std::to_string(table_->set.version)}});
    exchange->Respond(codec_.encode_no_route());
    return;
  }
  const CallerAccess access = CheckAccess(*table_, *route, caller);
  const bool is_confirmed =
      !NeedsKey(*table_, *route) ||
      routes::IsConfirmed(followed_routes_, route_confirmation_lifetime_, now);
  if (!is_confirmed && may_park) {
    ParkRequest(std::move(exchange), caller);
    return;
  }
  if (!access.granted || !is_confirmed) {
    Deny(*exchange, caller, *route, is_confirmed);
    return;
  }
  if (may_park && (AwaitsEvacuation(now) || !KnowsServers(*route))) {
    ParkRequest(std::move(exchange), caller);
    return;
  }
  if (AwaitsEvacuation(now)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", caller.id},
                         {"route", route->name},
                         {"reason", "evacuation_not_confirmed"}});
    exchange->Respond(codec_.encode_refused(
        {relay::RefusalReason::kNoServer, kNoRoutesRetryAfter}));
    return;
  }
  if (answer_by_ && !relay::FitsBefore(*answer_by_, *route, now)) {
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", caller.id},
                         {"route", route->name},
                         {"reason", "stopping"}});
    exchange->Respond(codec_.encode_refused(
        {relay::RefusalReason::kNotInTime, Duration::zero()}));
    return;
  }
  if (!PassesAllotment({allotments_, codec_, metrics_}, *exchange, caller,
                       *route, access.organisation, now)) {
    return;
  }
  const auto crashes = CheckCrashes(exchange->request(), caller, *route, now);
  if (crashes.action == claims::CrashAction::kRefuse) {
    exchange->Respond(codec_.encode_refused(
        {relay::RefusalReason::kCrashesServers, crashes.retry_after}));
    return;
  }
  Start(std::move(exchange), std::move(caller), *route, access.organisation,
        crashes.action == claims::CrashAction::kRun ? route->attempts : 1);
}

void EntryShard::Deny(transport::Exchange& exchange,
                      const CallerRequest& caller,
                      const routes::Route& route,
                      bool is_confirmed) {
  // A key that is unknown here may be in the newest routes.
  if (!is_confirmed) {
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    const auto retry_after = std::chrono::duration_cast<Duration>(
        kNotConfirmedRetryAfter * spread(random_));
    telemetry::LogEvent(LogLevel::kWarning, "request_refused",
                        {{"request", caller.id},
                         {"route", route.name},
                         {"reason", "configuration_not_confirmed"},
                         {"retry_after_ms", Milliseconds(retry_after)}});
    Increment(metrics_, Counter::kRequestsNotConfirmed);
    exchange.Respond(codec_.encode_refused(
        {relay::RefusalReason::kConfigurationNotConfirmed, retry_after}));
    return;
  }
  Increment(metrics_, Counter::kRequestsWithoutAccess);
  telemetry::LogEvent(
      LogLevel::kWarning, "request_without_access",
      {{"request", caller.id},
       {"route", route.name},
       {"reason", caller.key ? "unknown_key" : "no_key"},
       {"routes_version", std::to_string(table_->set.version)}});
  exchange.Respond(codec_.encode_no_access());
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
                       const routes::Route& route,
                       const organisations::Organisation* organisation,
                       uint32_t attempts) {
  const SteadyTime received = exchange->received_at();
  ActiveRequest& active = AddRequest(std::move(exchange), std::move(caller),
                                     table_, route, organisation);
  const bool is_gathered =
      std::holds_alternative<routes::ShardedTarget>(route.target);
  if (!is_gathered || !EvacuationLeavesCoverage(route) ||
      !PassOn(active, received)) {
    Run(active, received, attempts);
  }
}

EntryShard::ActiveRequest& EntryShard::AddRequest(
    std::shared_ptr<transport::Exchange> exchange,
    CallerRequest caller,
    RouteTablePtr table,
    const routes::Route& route,
    const organisations::Organisation* organisation) {
  const RequestNumber number = next_request_++;
  auto active = std::make_unique<ActiveRequest>();
  active->number = number;
  active->table = std::move(table);
  active->caller_deadline =
      exchange->received_at() + caller.timeout.value_or(route.timeout);
  active->caller = std::move(caller);
  active->route = &route;
  active->organisation = organisation;
  active->request = std::move(exchange->request());

  codec_.remove_caller_fields(active->request);
  transport::RemoveConnectionFields(active->request);
  active->request.version(11);
  active->request.prepare_payload();
  exchange->OnCallerDisconnected([this, number] {
    std::lock_guard lock(mutex_);
    HandleCallerDisconnect(number);
  });
  active->exchange = std::move(exchange);
  ActiveRequest& added = *active;
  active_.emplace(number, std::move(active));
  return added;
}

void EntryShard::Run(ActiveRequest& active,
                     SteadyTime received,
                     uint32_t attempts) {
  const routes::Route& route = *active.route;
  active.state = relay::MakeRequest(route, PoolsOf(route), policy_, received,
                                    active.caller_deadline);
  active.state.attempts = attempts;
  active.state.rank = RankOf(route, active.organisation);
  if (answer_by_) {
    relay::AnswerBy(active.state, *answer_by_);
  }
  ApplyEffects(active.number,
               relay::StartRequest(active.state, Context(), BootTime()));
}

ShardCounts EntryShard::Count() {
  std::lock_guard lock(mutex_);
  const SteadyTime now = BootTime();
  ShardCounts counts;
  counts.gather_nodes = directory::CountNodes(gather_plan_.reservation);
  counts.requests_in_flight = active_.size();
  for (const auto& [service, pool] : pools_) {
    for (const relay::PoolServer& it : pool.servers) {
      counts.servers_leaving += it.notices.leaving_since ? 1 : 0;
      if (it.usable) {
        ++counts.servers_ready;
        counts.servers_limited += it.request_limit.per_second ? 1 : 0;
        counts.servers_resting += IsResting(it.notices, now) ? 1 : 0;
      }
    }
  }
  return counts;
}

void EntryShard::ApplyEffects(RequestNumber number,
                              relay::RequestEffects effects) {
  auto it = active_.find(number);
  if (it == active_.end()) {
    return;
  }
  ActiveRequest& active = *it->second;
  for (relay::AttemptNumber overdue : effects.overdue) {
    InFlightAttempt& in_flight_attempt =
        in_flight_.at(active.in_flight.at(overdue));
    in_flight_attempt.overdue = true;
    if (auto* server = relay::FindServer(*in_flight_attempt.pool,
                                         in_flight_attempt.server)) {
      relay::RecordOverdue(server->stats, BootTime());
    }
  }
  for (const relay::AttemptToDrop& drop : effects.drop) {
    Drop(active, drop);
  }
  if (effects.report_progress) {
    const std::string progress =
        EncodeGatherProgress(relay::Progress(active.state));
    if (!progress.empty()) {
      active.exchange->Acknowledge(progress);
    }
  }
  if (effects.outcome && active.state.IsPassedOn() &&
      std::holds_alternative<relay::RefusedOutcome>(*effects.outcome)) {
    GatherHere(active);
    return;
  }
  if (effects.outcome) {
    Finish(number, std::move(*effects.outcome));
    return;
  }
  SetTimer(active, effects.next_timer);
  for (const relay::AttemptToSend& attempt : effects.send) {
    Send(number, attempt);
    // Sending may finish the request.
    if (!active_.contains(number)) {
      return;
    }
  }
}

void EntryShard::HandleCallerDisconnect(RequestNumber number) {
  auto it = active_.find(number);
  if (it == active_.end()) {
    return;
  }
  ActiveRequest& active = *it->second;
  Increment(metrics_, Counter::kCallersGone);
  telemetry::LogEvent(
      LogLevel::kInfo, "caller_gone",
      {{"request", active.caller.id},
       {"route", active.state.route->name},
       {"elapsed_ms", Milliseconds(BootTime() - active.state.received)}});
  for (const auto& drop :
       relay::OnCallerDisconnected(active.state, BootTime()).drop) {
    Drop(active, drop);
  }
  SetTimer(active, std::nullopt);
  active_.erase(it);
}

void EntryShard::Finish(RequestNumber number, relay::Outcome outcome) {
  auto it = active_.find(number);
  std::unique_ptr<ActiveRequest> active = std::move(it->second);
  active_.erase(it);
  SetTimer(*active, std::nullopt);
  LogOutcome(active->caller.id, active->state, outcome);
  if (active->for_other_node) {
    const auto* answer = std::get_if<relay::GatheredOutcome>(&outcome);
    active->exchange->Respond(
        answer != nullptr ? EncodeGatherReply(*answer)
                          : EncodeGatherRefusal(GatherRefusal::kFailed));
    return;
  }
  CountOutcome(metrics_, active->caller.host, active->state, outcome);
  transport::Response response;
  if (auto* gathered = std::get_if<relay::GatheredOutcome>(&outcome)) {
    response = codec_.encode_gathered(std::move(*gathered));
  } else if (const auto* refused =
                 std::get_if<relay::RefusedOutcome>(&outcome)) {
    response = codec_.encode_refused(*refused);
  } else if (const auto* failed = std::get_if<relay::FailedOutcome>(&outcome)) {
    response = codec_.encode_failed(*failed);
  } else {
    response = std::move(active->reply);
    transport::RemoveConnectionFields(response);
    response.version(11);
  }
  active->exchange->Respond(std::move(response));
}

void EntryShard::SetTimer(ActiveRequest& active, std::optional<SteadyTime> at) {
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
    const RequestNumber number = timers_.begin()->second;
    ActiveRequest& active = *active_.at(number);
    timers_.erase(timers_.begin());
    active.timer.reset();
    ApplyEffects(number, relay::OnRequestTimer(active.state, Context(), now));
  }
  ArmTimer();
}

}  // namespace gooseberryrock::entry
