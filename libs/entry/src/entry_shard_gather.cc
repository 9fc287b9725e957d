// An I/O shard of an entry node: gathered requests that one entry node passes
// on to another.

#include <algorithm>
#include <utility>
#include <variant>

#include "caller_access.h"
#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gather_messages.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/directory/server_state.h"
#include "gooseberryrock/relay/evacuated_servers.h"
#include "gooseberryrock/relay/gather_nodes.h"
#include "gooseberryrock/relay/stop_time.h"
#include "gooseberryrock/routes/route_services.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::Counter;
using telemetry::LogLevel;

// Time for the answer to get back to the node that passed the request on.
constexpr Duration kHopTime = std::chrono::milliseconds(4);
// Connections and concurrent requests of an I/O shard for each gathering node.
constexpr uint32_t kConnectionsPerGatherNode = 4;
// Nodes have the same routes within a few polls of the control VMs.
constexpr Duration kEarlierTableLifetime = std::chrono::seconds(10);
constexpr size_t kMaxEarlierTables = 8;
// After a gathering node did not respond, the others of its failure domain are
// left alone this long: the domain may be cut off, and each of them would cost
// a request some time.
constexpr Duration kAvoidDomainTime = std::chrono::seconds(1);

}  // namespace

bool EntryShard::IsForward(const InFlightAttempt& attempt) const {
  return attempt.pool == &gather_pool_;
}

std::vector<relay::ShardGroup> EntryShard::GroupsOf(
    const routes::Route& route) {
  const SteadyTime now = BootTime();
  std::set<FailureDomain> available;
  for (const relay::PoolServer& it : gather_pool_.servers) {
    const auto failure = gather_failures_.find(it.domain);
    const bool has_failed = failure != gather_failures_.end() &&
                            now - failure->second < kAvoidDomainTime;
    if (it.usable && !has_failed && !IsSuspect(it.stats, now)) {
      available.insert(it.domain);
    }
  }
  std::vector<FailureDomain> domains(available.begin(), available.end());
  // Each failure domain prefers different ones, starting with its own.
  std::rotate(
      domains.begin(),
      std::lower_bound(domains.begin(), domains.end(), plan_.place.domain),
      domains.end());
  std::vector<std::set<FailureDomain>> places;
  for (const relay::ServicePool* pool : PoolsOf(route)) {
    std::set<FailureDomain>& shard = places.emplace_back();
    for (const relay::PoolServer& it : pool->servers) {
      if (relay::IsOpenToWork(it)) {
        shard.insert(it.domain);
      }
    }
  }
  return relay::GroupShards(places, domains);
}

bool EntryShard::PassOn(ActiveRequest& active, SteadyTime received) {
  if (gather_nodes_.empty()) {
    return false;
  }
  const std::vector<relay::ShardGroup> groups = GroupsOf(*active.route);
  if (groups.empty()) {
    return false;
  }
  active.state = relay::MakeForward(*active.route, groups, gather_pool_,
                                    policy_, received, active.caller_deadline);
  active.state.rank = RankOf(*active.route, active.organisation);
  if (answer_by_) {
    relay::AnswerBy(active.state, *answer_by_);
  }
  Increment(metrics_, Counter::kRequestsPassedOn);
  ApplyEffects(active.number,
               relay::StartRequest(active.state, Context(), BootTime()));
  return true;
}

void EntryShard::GatherHere(ActiveRequest& active) {
  const SteadyTime received = active.state.received;
  uint32_t unacknowledged = 0;
  for (const relay::RequestPart& it : active.state.parts) {
    unacknowledged = std::max(unacknowledged, it.unacknowledged);
  }
  Increment(metrics_, Counter::kGatherNodesUnavailable);
  telemetry::LogEvent(LogLevel::kWarning, "gather_nodes_unavailable",
                      {{"request", active.caller.id},
                       {"route", active.route->name},
                       {"unacknowledged", std::to_string(unacknowledged)},
                       {"elapsed_ms", Milliseconds(BootTime() - received)}});
  SetTimer(active, std::nullopt);
  Run(active, received, active.route->attempts - unacknowledged);
}

void EntryShard::RecordGatherResult(const BackendServerId& node, bool replied) {
  const relay::PoolServer* server = relay::FindServer(gather_pool_, node);
  if (server == nullptr) {
    return;
  }
  if (replied) {
    gather_failures_.erase(server->domain);
  } else {
    gather_failures_[server->domain] = BootTime();
  }
}

void EntryShard::OnInterim(AttemptKey key, const transport::Response& header) {
  auto it = in_flight_.find(key);
  if (it != in_flight_.end()) {
    RecordGatherResult(it->second.server, /*replied=*/true);
  }
  if (it == in_flight_.end() || it->second.active == 0) {
    return;
  }
  ActiveRequest& active = *active_.at(it->second.active);
  const relay::AttemptNumber attempt = it->second.attempt;
  auto progress = ReadGatherProgress(header);
  ApplyEffects(active.number,
               progress ? relay::OnAttemptProgress(active.state, attempt,
                                                   std::move(*progress),
                                                   Context(), BootTime())
                        : relay::OnAttemptAcknowledged(active.state, attempt,
                                                       Context(), BootTime()));
}

void EntryShard::HandleForwarded(
    std::shared_ptr<transport::Exchange> exchange) {
  std::lock_guard lock(mutex_);
  const SteadyTime now = BootTime();
  const auto call = TakeGatherCall(exchange->request());
  if (!call) {
    telemetry::LogEvent(LogLevel::kWarning, "gather_call_malformed", {});
    exchange->Respond(
        transport::Response(boost::beast::http::status::bad_request, 11));
    return;
  }
  if (answer_by_ || WasSuspended(now) || !table_) {
    exchange->Respond(EncodeGatherRefusal(GatherRefusal::kStopping));
    return;
  }
  RouteTablePtr table = FindTable(call->routes_version);
  CallerRequest caller = codec_.parse_request(exchange->request());
  const auto target = exchange->request().target();
  const routes::Route* route =
      table ? routes::FindRoute(*table, caller.host,
                                {target.data(), target.size()})
            : nullptr;
  const auto* sharded = route != nullptr
                            ? std::get_if<routes::ShardedTarget>(&route->target)
                            : nullptr;
  if (sharded == nullptr || !gathers_ ||
      call->shards.back() >= sharded->shards.size()) {
    exchange->Respond(EncodeGatherRefusal(GatherRefusal::kTryAnotherNode));
    return;
  }
  const organisations::Organisation* organisation =
      FindOrganisation(*table, call->organisation);
  if (!call->organisation.empty() && organisation == nullptr) {
    exchange->Respond(EncodeGatherRefusal(GatherRefusal::kTryAnotherNode));
    return;
  }
  if (AwaitsEvacuation(now) || (IsDiscovering(now) && !KnowsServers(*route))) {
    exchange->Respond(EncodeGatherRefusal(GatherRefusal::kStopping));
    return;
  }
  const auto crashes = CheckCrashes(exchange->request(), caller, *route, now);
  if (crashes.action == claims::CrashAction::kRefuse) {
    exchange->Respond(EncodeGatherRefusal(GatherRefusal::kFailed));
    return;
  }
  const uint32_t attempts =
      crashes.action == claims::CrashAction::kRun ? call->attempts : 1;
  std::vector<relay::ServicePool*> pools;
  pools.reserve(call->shards.size());
  for (uint32_t it : call->shards) {
    pools.push_back(&PoolOf(sharded->shards[it]));
  }
  Increment(metrics_, Counter::kGatheredForOthers);
  exchange->Acknowledge();
  const SteadyTime received =
      exchange->received_at() - call->elapsed - kHopTime;
  ActiveRequest& active = AddRequest(std::move(exchange), std::move(caller),
                                     std::move(table), *route, organisation);
  active.for_other_node = true;
  active.state = relay::MakeGatherForOther(*route, pools, policy_, attempts,
                                           received, active.caller_deadline);
  active.state.rank = RankOf(*route, organisation);
  ApplyEffects(active.number,
               relay::StartRequest(active.state, Context(), BootTime()));
}

RouteTablePtr EntryShard::FindTable(uint64_t version) const {
  if (table_->set.version == version) {
    return table_;
  }
  for (const auto* tables : {&earlier_tables_, &coming_tables_}) {
    for (const auto& [table, time] : *tables) {
      if (table->set.version == version) {
        return table;
      }
    }
  }
  return nullptr;
}

void EntryShard::FollowComingTables(SteadyTime now) {
  RouteTablePtr newest;
  while (!coming_tables_.empty() && coming_tables_.front().second <= now) {
    if (newest) {
      earlier_tables_.emplace_back(std::move(newest), now);
    }
    newest = std::move(coming_tables_.front().first);
    coming_tables_.pop_front();
  }
  if (!newest) {
    return;
  }
  if (table_) {
    earlier_tables_.emplace_back(std::move(table_), now);
  }
  table_ = std::move(newest);
  routes::Follow(followed_routes_, table_->set.version);
  relayed_services_ = routes::RelayedServices(table_->set);
  UpdateGatherNodes();
  ApplyAllShares();
  RetryParked();
}

void EntryShard::ForgetEarlierTables(SteadyTime now) {
  while (!earlier_tables_.empty() &&
         (earlier_tables_.size() > kMaxEarlierTables ||
          now - earlier_tables_.front().second > kEarlierTableLifetime)) {
    earlier_tables_.pop_front();
  }
}

bool EntryShard::WasSuspended(SteadyTime now) const {
  return now < suspect_requests_until_ ||
         now - last_maintenance_ > kSuspendedAfter;
}

void EntryShard::StartDraining(SteadyTime answer_by) {
  thread_.Post([this, answer_by] {
    std::lock_guard lock(mutex_);
    answer_by_ = answer_by;
    std::vector<RequestNumber> numbers;
    for (auto& [number, active] : active_) {
      relay::AnswerBy(active->state, answer_by);
      numbers.push_back(number);
    }
    const SteadyTime now = BootTime();
    for (RequestNumber it : numbers) {
      auto active = active_.find(it);
      if (active != active_.end()) {
        ApplyEffects(
            it, relay::OnRequestTimer(active->second->state, Context(), now));
      }
    }
  });
}

relay::GatherInputs EntryShard::CurrentGatherInputs() const {
  relay::GatherInputs inputs;
  if (gather_.port == 0 || !table_) {
    return inputs;
  }
  inputs.nodes = plan_.nodes;
  const std::set<ServiceName> shards = routes::ShardServices(table_->set);
  inputs.connection_limit = shards.empty() ? 0 : UINT32_MAX;
  for (const ServiceName& it : shards) {
    inputs.connection_limit =
        std::min(inputs.connection_limit, ConnectionLimitOf(it));
  }
  for (const auto& [id, record] : records_) {
    if (record.state == directory::ServerState::kReady &&
        shards.contains(record.service)) {
      ++inputs.servers[record.failure_domain];
    }
  }
  return inputs;
}

void EntryShard::UpdateGatherNodes() {
  relay::GatherInputs inputs = CurrentGatherInputs();
  if (inputs == gather_inputs_) {
    return;
  }
  gather_inputs_ = std::move(inputs);
  relay::NodesByDomain chosen = relay::ChooseGatherNodes(gather_inputs_);
  if (chosen == gather_nodes_) {
    return;
  }
  gather_nodes_ = std::move(chosen);
  gather_plan_ = {};
  gather_plan_.place.domain = plan_.place.domain;
  gathers_ = false;
  for (const auto& [domain, nodes] : gather_nodes_) {
    gather_plan_.reservation[domain] = static_cast<uint32_t>(nodes.size());
    const auto self = std::find(nodes.begin(), nodes.end(), plan_.self);
    if (domain == plan_.place.domain && self != nodes.end()) {
      gather_plan_.place.position = static_cast<uint32_t>(self - nodes.begin());
      gathers_ = true;
    }
  }
  telemetry::LogEvent(
      LogLevel::kInfo, "gather_nodes_changed",
      {{"nodes",
        std::to_string(directory::CountNodes(gather_plan_.reservation))},
       {"gathers", gathers_ ? "true" : "false"}});
  UpdateGatherPool();
  ApplyAllShares();
}

void EntryShard::UpdateGatherPool() {
  std::set<NodeId> wanted;
  for (const auto& [domain, nodes] : gather_nodes_) {
    for (const NodeId& it : nodes) {
      wanted.insert(it);
      if (relay::FindServer(gather_pool_, {it.value}) != nullptr) {
        continue;
      }
      relay::PoolServer& server = gather_pool_.servers.emplace_back();
      server.id = {it.value};
      server.host = it.value;
      server.port = gather_.port;
      server.domain = domain;
      server.same_domain = domain == plan_.place.domain;
      server.slots = server.connection_share = kConnectionsPerGatherNode;
      server.prewarmed_connections = 1;
    }
  }
  for (relay::PoolServer& it : gather_pool_.servers) {
    it.usable = wanted.contains({it.id.value});
  }
}

bool EntryShard::IsGathered(const ServiceName& service) const {
  return !gather_nodes_.empty() && !relayed_services_.contains(service);
}

}  // namespace gooseberryrock::entry
