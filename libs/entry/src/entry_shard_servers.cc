// An I/O shard of an entry node: servers, routes and prewarmed connections.

#include <algorithm>
#include <utility>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/directory/connection_share.h"
#include "gooseberryrock/routes/route_services.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/io_thread.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

// Connections to each server that are opened in advance.
constexpr uint32_t kPrewarmedSameDomain = 2;
constexpr uint32_t kPrewarmedOtherDomain = 1;
// Connections to servers in other failure domains are opened in advance only if
// the limit allows this many per node; with fewer they would use up connections
// that the nodes in the server's own failure domain need.
constexpr uint32_t kMinConnectionsPerNode = 2;
// Fraction of the connections to servers of shards that the gathering nodes
// divide; the others are left to nodes that reach no gathering node.
constexpr double kGatherConnectionShare = 0.8;
// Time after a suspension of the process in which requests from before are
// read.
constexpr Duration kSuspectRequestsTime = std::chrono::milliseconds(100);

}  // namespace

void EntryShard::RunMaintenance() {
  const SteadyTime now = BootTime();
  if (now - last_maintenance_ > kSuspendedAfter) {
    suspect_requests_until_ = now + kSuspectRequestsTime;
  }
  last_maintenance_ = now;
  FollowComingTables(now);
  ForgetEarlierTables(now);
  std::vector<AttemptKey> expired;
  for (const auto& [key, in_flight_attempt] : in_flight_) {
    if (in_flight_attempt.connection && now >= in_flight_attempt.close_at) {
      expired.push_back(key);
    }
  }
  for (AttemptKey key : expired) {
    if (in_flight_.contains(key)) {
      OnLost(key, relay::AttemptResult::kSilent, "silent");
    }
  }
  MaintainLostRuns(now);
  RetryParked();
  for (auto& [service, pool] : pools_) {
    MaintainPool(pool, now);
  }
  MaintainPool(gather_pool_, now);
}

void EntryShard::MaintainPool(relay::ServicePool& pool, SteadyTime now) {
  for (relay::PoolServer& it : pool.servers) {
    // Requests do not probe a failed gathering node; a new connection does.
    const bool has_failed =
        it.stats.consecutive_failures > 0 &&
        (&pool != &gather_pool_ || IsSuspect(it.stats, now));
    const bool prewarm =
        it.usable && !has_failed && !IsResting(it.notices, now);
    connections_.Maintain(pool, it, prewarm ? it.prewarmed_connections : 0);
  }
  std::erase_if(pool.servers, [](const relay::PoolServer& it) {
    // A server that leaves is kept until it is announced as gone: it may still
    // announce itself as ready.
    return !it.usable && !it.notices.leaving_since && it.connections == 0 &&
           it.queued == 0 && it.stats.outstanding == 0;
  });
}

void EntryShard::SetRoutes(RouteTablePtr table) {
  thread_.Post([this, table = std::move(table)] {
    std::lock_guard lock(mutex_);
    const SteadyTime now = BootTime();
    coming_tables_.emplace_back(
        table,
        gather_nodes_.empty() ? now : now + gather_.route_adoption_delay);
    FollowComingTables(now);
  });
}

void EntryShard::SetConfirmation(
    const routes::RouteConfirmation& confirmation) {
  thread_.Post([this, confirmation] {
    std::lock_guard lock(mutex_);
    routes::RecordConfirmation(followed_routes_, confirmation);
  });
}

void EntryShard::UpdateServers(std::vector<ServerChange> changes) {
  thread_.Post([this, changes = std::move(changes)] {
    std::lock_guard lock(mutex_);
    for (const ServerChange& it : changes) {
      UpdateServer(it);
    }
    CancelEvacuatedWaits();
    UpdateGatherNodes();
    RetryParked();
  });
}

void EntryShard::SetConnectionPlan(ConnectionPlan plan) {
  thread_.Post([this, plan = std::move(plan)] {
    std::lock_guard lock(mutex_);
    plan_ = plan;
    UpdateGatherNodes();
    ApplyAllShares();
  });
}

void EntryShard::UpdateServer(const ServerChange& change) {
  const directory::ServerRecord& record = change.record;
  auto known = records_.find(record.id);
  const bool restarted = known != records_.end() &&
                         known->second.incarnation != record.incarnation;
  if (known != records_.end() && known->second.service != record.service) {
    // A server that has ended may be reported without its service.
    relay::ServicePool& earlier = PoolOf(known->second.service);
    if (auto* server = relay::FindServer(earlier, record.id)) {
      server->usable = false;
      connections_.Maintain(earlier, *server, 0);
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
  const bool usable =
      change.usable && (restarted || !server->notices.leaving_since);
  if (server->usable != usable || restarted) {
    telemetry::LogEvent(
        LogLevel::kInfo, "server_changed",
        {{"server", record.id.value},
         {"service", record.service.value},
         {"state", std::string(directory::ServerStateName(record.state))},
         {"usable", usable ? "true" : "false"},
         {"incarnation", std::to_string(record.incarnation)}});
  }
  if (restarted) {
    ConfirmCrash(record.id, BootTime());
    const uint32_t outstanding = server->stats.outstanding;
    const uint32_t overdue = server->stats.overdue;
    server->stats = {};
    server->stats.outstanding = outstanding;
    server->stats.overdue = overdue;
    server->request_limit = {};
    server->notices = {};
  }
  server->incarnation = record.incarnation;
  server->host = record.host;
  server->port = record.port;
  server->slots = record.slots;
  // What the server says in its replies goes before its announcements, which
  // may be late or come from before.
  server->usable = usable;
  if (record.state == directory::ServerState::kGone) {
    server->notices = {};
  }
  if (!server->usable) {
    connections_.Maintain(pool, *server, 0);
  }
  ApplyShares(pool);
}

uint32_t EntryShard::ConnectionLimitOf(const ServiceName& service) const {
  if (table_) {
    auto it = table_->set.services.find(service);
    if (it != table_->set.services.end()) {
      return std::max(1U, it->second.connection_limit);
    }
  }
  return 1;
}

void EntryShard::ApplyShare(relay::PoolServer& server) {
  const directory::ServerRecord& record = records_.at(server.id);
  server.domain = record.failure_domain;
  server.same_domain = record.failure_domain == plan_.place.domain;
  server.evacuated = routes::IsEvacuated(evacuated_, server.domain);
  const SteadyTime now = BootTime();
  ApplyColdShare(server, record, now);
  if (IsGathered(record.service)) {
    ApplyGatherShare(server, record, now);
    return;
  }
  if (plan_.reservation.empty()) {
    // The number of nodes that share the limit is not known yet.
    server.connection_share = 1;
    server.prewarmed_connections = server.same_domain ? 1 : 0;
    relay::SetLimitShare(server.request_limit,
                         1.0 / policy_.default_node_count / shards_, now);
    return;
  }
  const uint32_t limit = ConnectionLimitOf(record.service);
  const uint32_t share = directory::ConnectionShare(
      limit, plan_.reservation, record.failure_domain, plan_.place,
      Hash64(record.id.value));
  server.connection_share = share == 0 ? 0 : std::max(1U, share / shards_);
  // Requests are divided like connections, which leaves most of them to the
  // nodes that prefer the server. A node without a share may still be granted
  // one connection.
  relay::SetLimitShare(server.request_limit,
                       std::max<double>(share, 1) / limit / shards_, now);
  const bool prewarm_other_domain = limit / kMinConnectionsPerNode >=
                                    directory::CountNodes(plan_.reservation);
  server.prewarmed_connections = server.same_domain     ? kPrewarmedSameDomain
                                 : prewarm_other_domain ? kPrewarmedOtherDomain
                                                        : 0;
}

void EntryShard::ApplyShares(relay::ServicePool& pool) {
  for (relay::PoolServer& it : pool.servers) {
    ApplyShare(it);
  }
  relay::EnsureOneUsableServer(
      pool, Hash64(plan_.place.domain.value, plan_.place.position));
  const uint32_t nodes = directory::CountNodes(
      gathers_ && IsGathered(pool.service) ? gather_plan_.reservation
                                           : plan_.reservation);
  if (nodes > 0) {
    relay::SetBudgetShare(pool, policy_, nodes * shards_);
  }
}

void EntryShard::ApplyGatherShare(relay::PoolServer& server,
                                  const directory::ServerRecord& record,
                                  SteadyTime now) {
  const auto all = static_cast<double>(ConnectionLimitOf(record.service));
  server.prewarmed_connections = 0;
  if (!gathers_) {
    // Used only while no gathering node can be reached.
    server.connection_share = 0;
    relay::SetLimitShare(
        server.request_limit,
        (1 - kGatherConnectionShare) /
            std::max(1U, directory::CountNodes(plan_.reservation)) / shards_,
        now);
    return;
  }
  const auto limit = static_cast<uint32_t>(all * kGatherConnectionShare);
  const uint32_t share = directory::ConnectionShare(
      limit, gather_plan_.reservation, record.failure_domain,
      gather_plan_.place, Hash64(record.id.value));
  server.connection_share = share == 0 ? 0 : std::max(1U, share / shards_);
  relay::SetLimitShare(server.request_limit,
                       std::max<double>(share, 1) / all / shards_, now);
  server.prewarmed_connections =
      server.same_domain ? kPrewarmedSameDomain : kPrewarmedOtherDomain;
}

void EntryShard::ApplyAllShares() {
  for (auto& [service, pool] : pools_) {
    ApplyShares(pool);
  }
}

}  // namespace gooseberryrock::entry
