// One I/O shard of an entry node: the servers, the routes and the connections
// that are kept open to them.

#include <algorithm>
#include <utility>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/directory/connection_share.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/io_thread.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

// Connections that are kept open ahead to each server.
constexpr uint32_t kReadyOwnDomain = 2;
constexpr uint32_t kReadyOtherDomain = 1;
// Connections to servers of other domains are kept open ahead only where the
// limit allows as many for each node: with fewer they would take those that the
// nodes of the server's own domain need.
constexpr uint32_t kPlentyForEachNode = 2;

}  // namespace

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
      const bool ahead = it.usable && it.stats.consecutive_failures == 0;
      links_.Maintain(pool, it, ahead ? it.prewarmed_connections : 0);
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
    ApplyAllShares();
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
    ApplyAllShares();
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
  server->usable = change.usable;
  if (!change.usable) {
    links_.Maintain(pool, *server, 0);
  }
  ApplyShares(pool);
}

void EntryShard::ApplyShare(relay::PoolServer& server) {
  const directory::ServerRecord& record = records_.at(server.id);
  server.same_domain = record.failure_domain == plan_.place.domain;
  if (plan_.reservation.empty()) {
    // How many nodes share the limit is not known yet.
    server.connection_share = 1;
    server.prewarmed_connections = server.same_domain ? 1 : 0;
    return;
  }
  uint32_t limit = 1;
  if (table_) {
    auto it = table_->set.services.find(record.service);
    if (it != table_->set.services.end()) {
      limit = it->second.connection_limit;
    }
  }
  const uint32_t share = directory::ConnectionShare(
      limit, plan_.reservation, record.failure_domain, plan_.place,
      Hash64(record.id.value));
  server.connection_share = share == 0 ? 0 : std::max(1U, share / shards_);
  const bool plenty =
      limit / kPlentyForEachNode >= directory::CountNodes(plan_.reservation);
  server.prewarmed_connections = server.same_domain ? kReadyOwnDomain
                                 : plenty           ? kReadyOtherDomain
                                                    : 0;
}

void EntryShard::ApplyShares(relay::ServicePool& pool) {
  for (relay::PoolServer& it : pool.servers) {
    ApplyShare(it);
  }
  relay::EnsureOneUsableServer(
      pool, Hash64(plan_.place.domain.value, plan_.place.position));
  const uint32_t nodes = directory::CountNodes(plan_.reservation);
  if (nodes > 0) {
    relay::SetBudgetShare(pool, policy_, nodes * shards_);
  }
}

void EntryShard::ApplyAllShares() {
  for (auto& [service, pool] : pools_) {
    ApplyShares(pool);
  }
}

}  // namespace gooseberryrock::entry
