// Chooses the entry nodes that gather for the others.
//
// With more entry nodes than a server has connections, a node that fans out by
// itself sends each server a request every few seconds: it cannot learn which
// servers are slow, has no connection for a hedge, and its share of the extra
// attempts is less than one. A few nodes beside the servers gather for all.

#ifndef GOOSEBERRYROCK_RELAY_GATHER_NODES_H_
#define GOOSEBERRYROCK_RELAY_GATHER_NODES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/request_state.h"

namespace gooseberryrock::relay {

struct RelayPolicy;
struct ServicePool;

using NodesByDomain = std::map<FailureDomain, std::vector<NodeId>>;

struct GatherInputs {
  // All entry nodes.
  NodesByDomain nodes;
  // Number of usable servers of all shards in each failure domain.
  std::map<FailureDomain, size_t> servers;
  // The smallest connection limit of a server of a shard.
  uint32_t connection_limit = 0;

  bool operator==(const GatherInputs&) const = default;
};

// Returns the nodes that gather, which are in the failure domains of the
// servers; empty if each node gathers for itself. Nodes with the same inputs
// choose the same nodes, and a node that is added or lost changes few choices.
NodesByDomain ChooseGatherNodes(const GatherInputs& inputs);

// Returns an empty pool for gathering nodes. Moving a request to another node
// sends nothing to a server and needs no budget.
ServicePool MakeForwardPool();

// Shards that one node gathers.
struct ShardGroup {
  // Most of the shards have a server there.
  FailureDomain domain;
  // Indexes into the shards of the route, ascending.
  std::vector<uint32_t> shards;

  bool operator==(const ShardGroup&) const = default;
};

// Divides shards into groups, so that replies of servers mostly stay in their
// failure domain. `places` are the domains with a server, for each shard;
// `domains` those with a gathering node, of which the first one comes first and
// the others by the number of shards that are left.
std::vector<ShardGroup> GroupShards(
    const std::vector<std::set<FailureDomain>>& places,
    const std::vector<FailureDomain>& domains);

// Creates the state of a gathered request of which one of the nodes in `pool`
// gathers each group. `route` and the pool must outlive the state.
RequestState MakeForward(const routes::Route& route,
                         const std::vector<ShardGroup>& groups,
                         ServicePool& pool,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline);

// Creates the state of a request for another node, for some of the shards of
// `route`. The node may be the second one that gathers them, with `attempts`
// left for each shard.
RequestState MakeGatherForOther(const routes::Route& route,
                                const std::vector<ServicePool*>& pools,
                                const RelayPolicy& policy,
                                uint32_t attempts,
                                SteadyTime received,
                                SteadyTime caller_deadline);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_GATHER_NODES_H_
