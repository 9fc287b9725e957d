// The entry nodes that share the connection limits of the servers, with a
// digest that is updated with each change.

#ifndef GOOSEBERRYROCK_NODE_LIST_NODE_LIST_H_
#define GOOSEBERRYROCK_NODE_LIST_NODE_LIST_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::node_list {

struct ListedNode {
  FailureDomain domain;
  NodeId node;

  bool operator==(const ListedNode& other) const = default;
  auto operator<=>(const ListedNode& other) const = default;
};

// Modified only by the functions of this library, which maintain the digest.
struct NodeList {
  // Domains without nodes are absent.
  std::map<FailureDomain, std::set<NodeId>> nodes;
  size_t size = 0;
  // Sum of the hashes of all members, so that it does not depend on the order
  // of the changes. 0 for an empty list.
  uint64_t digest = 0;
};

// Return whether the list changed.
bool Add(NodeList& list, const ListedNode& node);
bool Remove(NodeList& list, const ListedNode& node);

bool Contains(const NodeList& list, const ListedNode& node);

}  // namespace gooseberryrock::node_list

#endif  // GOOSEBERRYROCK_NODE_LIST_NODE_LIST_H_
