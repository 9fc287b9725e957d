// Selects the snapshot and the shards of a query.

#include "gooseberryrock/query/query_plan.h"

#include <algorithm>

#include "gooseberryrock/catalog/service_definition.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/query/query_request.h"

namespace gooseberryrock::query {

namespace {

std::vector<ShardId> AddressedShards(const catalog::ShardLayout& layout,
                                     const QueryRequest& request) {
  if (request.routing_key.empty()) {
    return layout.shards;
  }
  return {catalog::ShardForKey(layout, request.routing_key)};
}

size_t CountCovered(const std::vector<ShardId>& shards,
                    const ReplicasByShard& replicas) {
  return std::count_if(shards.begin(), shards.end(), [&](const ShardId& shard) {
    return replicas.contains(shard);
  });
}

}  // namespace

RoutingTable BuildRoutingTable(
    const catalog::ServiceDefinition& service,
    const std::vector<const directory::ServerRecord*>& servers) {
  RoutingTable table;
  for (const directory::ServerRecord* server : servers) {
    if (server->service != service.name ||
        server->state != directory::ServerState::kReady ||
        !catalog::IsServerAllowed(service.rules, server->labels)) {
      continue;
    }
    for (const directory::ShardReplica& replica : server->replicas) {
      for (uint64_t index_version : replica.index_versions) {
        table.snapshots[{replica.layout_version, index_version}][replica.shard]
            .push_back(server->id);
      }
    }
  }
  return table;
}

std::optional<QueryPlan> PlanQuery(const catalog::ServiceDefinition& service,
                                   const RoutingTable& table,
                                   const QueryRequest& request,
                                   std::optional<Snapshot> newer_than) {
  std::optional<QueryPlan> best;
  double best_coverage = -1;
  for (auto it = table.snapshots.rbegin(); it != table.snapshots.rend(); ++it) {
    const auto& [snapshot, replicas] = *it;
    if (newer_than && snapshot <= *newer_than) {
      break;
    }
    const auto* layout = catalog::FindLayout(service, snapshot.layout_version);
    if (layout == nullptr) {
      continue;
    }
    auto shards = AddressedShards(*layout, request);
    const size_t covered = CountCovered(shards, replicas);
    const double coverage =
        static_cast<double>(covered) / static_cast<double>(shards.size());
    if (coverage > best_coverage) {
      best = QueryPlan{snapshot, std::move(shards), covered};
      best_coverage = coverage;
    }
    if (coverage >= 1) {
      break;
    }
  }
  if (!best && !newer_than && !service.layouts.empty()) {
    const auto& layout = service.layouts.back();
    best = QueryPlan{{layout.version, 0}, AddressedShards(layout, request), 0};
  }
  return best;
}

}  // namespace gooseberryrock::query
