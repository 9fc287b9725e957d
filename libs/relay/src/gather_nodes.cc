// Chooses the entry nodes that gather for the others.

#include "gooseberryrock/relay/gather_nodes.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/service_pool.h"
#include "scale.h"

namespace gooseberryrock::relay {

namespace {

// With fewer connections for each node than this, some nodes gather for all: a
// hedge needs a second connection.
constexpr size_t kMinConnectionsPerNode = 2;
// Connections of a server for each gathering node. Fewer would leave none for
// hedges, and more would mean fewer nodes, whose links and processors the
// replies of all shards have to fit through.
constexpr size_t kConnectionsPerGatherNode = 3;
// The loss of one node of a failure domain must leave another one.
constexpr size_t kMinGatherNodesPerDomain = 2;
// A failure domain with less than this part of the servers of the largest one
// has no gathering nodes. It may hold a few replacements only.
constexpr size_t kMinServersDivisor = 4;
// A smaller group costs more for its message than for the replies of its shards
// from another failure domain.
constexpr size_t kMinShardsInGroup = 3;
// Budget for moving requests from one gathering node to another.
constexpr double kMovesPerRequest = 2;
constexpr double kMaxMoves = 1000;

std::vector<FailureDomain> DomainsOfServers(const GatherInputs& inputs) {
  size_t most = 0;
  for (const auto& [domain, n] : inputs.servers) {
    most = std::max(most, n);
  }
  std::vector<FailureDomain> domains;
  for (const auto& [domain, n] : inputs.servers) {
    if (n > 0 && n * kMinServersDivisor >= most &&
        inputs.nodes.contains(domain)) {
      domains.push_back(domain);
    }
  }
  return domains;
}

// The `n` nodes with the lowest hashes, in the order of `nodes`.
std::vector<NodeId> LowestHashes(const std::vector<NodeId>& nodes, size_t n) {
  std::vector<std::pair<uint64_t, NodeId>> hashed;
  hashed.reserve(nodes.size());
  for (const NodeId& it : nodes) {
    hashed.emplace_back(Hash64(it.value), it);
  }
  std::sort(hashed.begin(), hashed.end());
  hashed.resize(std::min(n, hashed.size()));
  std::vector<NodeId> chosen;
  chosen.reserve(hashed.size());
  for (auto& [hash, node] : hashed) {
    chosen.push_back(std::move(node));
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace

NodesByDomain ChooseGatherNodes(const GatherInputs& inputs) {
  size_t nodes = 0;
  for (const auto& [domain, members] : inputs.nodes) {
    nodes += members.size();
  }
  const std::vector<FailureDomain> domains = DomainsOfServers(inputs);
  NodesByDomain chosen;
  if (domains.empty() ||
      nodes * kMinConnectionsPerNode <= inputs.connection_limit) {
    return chosen;
  }
  const size_t wanted = inputs.connection_limit / kConnectionsPerGatherNode;
  const size_t n = std::max(kMinGatherNodesPerDomain,
                            (wanted + domains.size() - 1) / domains.size());
  for (const FailureDomain& it : domains) {
    chosen[it] = LowestHashes(inputs.nodes.at(it), n);
  }
  return chosen;
}

ServicePool MakeForwardPool() {
  ServicePool pool;
  pool.service = {"gather_nodes"};
  pool.budget.share = kMovesPerRequest;
  pool.budget.capacity = pool.budget.tokens = kMaxMoves;
  return pool;
}

std::vector<ShardGroup> GroupShards(
    const std::vector<std::set<FailureDomain>>& places,
    const std::vector<FailureDomain>& domains) {
  std::vector<ShardGroup> groups;
  std::vector<uint32_t> rest(places.size());
  std::iota(rest.begin(), rest.end(), 0U);
  std::vector<FailureDomain> unused = domains;
  const auto count = [&](const FailureDomain& domain) {
    return std::count_if(rest.begin(), rest.end(), [&](uint32_t it) {
      return places[it].contains(domain);
    });
  };
  while (!rest.empty() && !unused.empty()) {
    auto best = unused.begin();
    if (!groups.empty()) {
      best = std::max_element(
          unused.begin(), unused.end(),
          [&](const auto& a, const auto& b) { return count(a) < count(b); });
    }
    const size_t n = static_cast<size_t>(count(*best));
    if (!groups.empty() && n < kMinShardsInGroup) {
      break;
    }
    ShardGroup group;
    group.domain = *best;
    std::erase_if(rest, [&](uint32_t it) {
      const bool is_there = places[it].contains(group.domain);
      if (is_there) {
        group.shards.push_back(it);
      }
      return is_there;
    });
    unused.erase(best);
    groups.push_back(std::move(group));
  }
  if (!groups.empty()) {
    std::vector<uint32_t>& first = groups.front().shards;
    first.insert(first.end(), rest.begin(), rest.end());
    std::sort(first.begin(), first.end());
    std::erase_if(groups,
                  [](const ShardGroup& it) { return it.shards.empty(); });
  }
  return groups;
}

RequestState MakeForward(const routes::Route& route,
                         const std::vector<ShardGroup>& groups,
                         ServicePool& pool,
                         const RelayPolicy& policy,
                         SteadyTime received,
                         SteadyTime caller_deadline) {
  RequestState state =
      MakeRequest(route, std::vector<ServicePool*>(groups.size(), &pool),
                  policy, received, caller_deadline);
  size_t shards = 0;
  for (size_t i = 0; i < groups.size(); ++i) {
    state.parts[i].domain = groups[i].domain;
    state.parts[i].group = groups[i].shards;
    shards += groups[i].shards.size();
  }
  const auto& target = std::get<routes::ShardedTarget>(route.target);
  state.min_shards = MinShards(shards, target.minimum_coverage);
  // The gathering nodes use the attempts of the route.
  state.attempts = 1;
  state.max_unacknowledged = route.attempts - std::min(route.attempts, 1U);
  state.acknowledge_within =
      std::max(policy.min_acknowledge_time,
               Scale(route.target_latency, policy.acknowledge_share));
  return state;
}

RequestState MakeGatherForOther(const routes::Route& route,
                                const std::vector<ServicePool*>& pools,
                                const RelayPolicy& policy,
                                uint32_t attempts,
                                SteadyTime received,
                                SteadyTime caller_deadline) {
  RequestState state =
      MakeRequest(route, pools, policy, received, caller_deadline);
  state.attempts = std::min(attempts, route.attempts);
  state.min_shards = 1;
  state.reports_progress = true;
  return state;
}

}  // namespace gooseberryrock::relay
