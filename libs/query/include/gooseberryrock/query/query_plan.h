// Selects the snapshot and the shards of a query.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_PLAN_H_
#define GOOSEBERRYROCK_QUERY_QUERY_PLAN_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/query/snapshot.h"

namespace gooseberryrock::catalog {
struct ServiceDefinition;
}  // namespace gooseberryrock::catalog

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::query {

struct QueryRequest;

// The replicas of each shard for one snapshot of one service.
using ReplicasByShard = std::map<ShardId, std::vector<BackendServerId>>;

// All snapshots of one service and the servers that have them. Built when the
// catalog or the directory changes, not for each query.
struct RoutingTable {
  std::map<Snapshot, ReplicasByShard> snapshots;
};

struct QueryPlan {
  Snapshot snapshot;
  // Shards that the request addresses, in the order of the layout.
  std::vector<ShardId> shards;
  // Number of `shards` that have a replica with the snapshot.
  size_t covered = 0;
};

// Collects the replicas of ready servers that the rules of `service` allow.
RoutingTable BuildRoutingTable(
    const catalog::ServiceDefinition& service,
    const std::vector<const directory::ServerRecord*>& servers);

// Selects the newest snapshot in which every addressed shard has a replica, or
// else the newest of the snapshots with the best coverage. `newer_than` limits
// the choice to later snapshots when a query restarts. Returns nothing if there
// is no such snapshot or the service has no layout.
std::optional<QueryPlan> PlanQuery(
    const catalog::ServiceDefinition& service,
    const RoutingTable& table,
    const QueryRequest& request,
    std::optional<Snapshot> newer_than = std::nullopt);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_PLAN_H_
