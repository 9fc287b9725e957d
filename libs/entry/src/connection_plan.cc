// Derives the connection plan of this node from the list of entry nodes.

#include "connection_plan.h"

#include <cstdint>
#include <iterator>

#include "gooseberryrock/node_list/node_list.h"

namespace gooseberryrock::entry {

std::optional<ConnectionPlan> MakeConnectionPlan(
    const node_list::NodeList& list,
    const NodeId& self,
    const FailureDomain& domain) {
  auto own = list.nodes.find(domain);
  if (own == list.nodes.end()) {
    return std::nullopt;
  }
  const auto place = own->second.find(self);
  if (place == own->second.end()) {
    return std::nullopt;
  }
  ConnectionPlan plan;
  plan.self = self;
  plan.place.domain = domain;
  // Every node derives the same places, because the nodes are sorted.
  plan.place.position =
      static_cast<uint32_t>(std::distance(own->second.begin(), place));
  for (const auto& [name, nodes] : list.nodes) {
    plan.reservation[name] = static_cast<uint32_t>(nodes.size());
    plan.nodes[name].assign(nodes.begin(), nodes.end());
  }
  return plan;
}

}  // namespace gooseberryrock::entry
