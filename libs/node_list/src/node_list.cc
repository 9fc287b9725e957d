// The entry nodes that share the connection limits of the servers.

#include "gooseberryrock/node_list/node_list.h"

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::node_list {

namespace {

uint64_t MemberHash(const ListedNode& node) {
  return Hash64(node.node.value, Hash64(node.domain.value));
}

}  // namespace

bool Add(NodeList& list, const ListedNode& node) {
  if (!list.nodes[node.domain].insert(node.node).second) {
    return false;
  }
  ++list.size;
  list.digest += MemberHash(node);
  return true;
}

bool Remove(NodeList& list, const ListedNode& node) {
  auto domain = list.nodes.find(node.domain);
  if (domain == list.nodes.end() || domain->second.erase(node.node) == 0) {
    return false;
  }
  if (domain->second.empty()) {
    list.nodes.erase(domain);
  }
  --list.size;
  list.digest -= MemberHash(node);
  return true;
}

bool Contains(const NodeList& list, const ListedNode& node) {
  const auto domain = list.nodes.find(node.domain);
  return domain != list.nodes.end() && domain->second.contains(node.node);
}

}  // namespace gooseberryrock::node_list
