// What a receiver needs to bring its copy of a node list up to date.

#ifndef GOOSEBERRYROCK_NODE_LIST_NODE_LIST_UPDATE_H_
#define GOOSEBERRYROCK_NODE_LIST_NODE_LIST_UPDATE_H_

#include <cstdint>
#include <vector>

#include "gooseberryrock/node_list/node_list.h"

namespace gooseberryrock::node_list {

struct NodeListChange {
  ListedNode node;
  // Otherwise it was removed.
  bool added = true;

  bool operator==(const NodeListChange& other) const = default;
};

struct NodeListUpdate {
  enum class Kind {
    // The receiver has the list of the version `to`.
    kNone,
    // `changes` lead from the version `from` to the version `to`.
    kChanges,
    // `changes` add all members to an empty list.
    kWhole,
  };

  Kind kind = Kind::kNone;
  uint64_t from = 0;
  uint64_t to = 0;
  std::vector<NodeListChange> changes;
  // Digest of the list of the version `to`.
  uint64_t digest = 0;
};

}  // namespace gooseberryrock::node_list

#endif  // GOOSEBERRYROCK_NODE_LIST_NODE_LIST_UPDATE_H_
