// A copy of a node list that another process keeps.

#ifndef GOOSEBERRYROCK_NODE_LIST_FOLLOWED_NODE_LIST_H_
#define GOOSEBERRYROCK_NODE_LIST_FOLLOWED_NODE_LIST_H_

#include <cstdint>
#include <vector>

#include "gooseberryrock/node_list/node_list.h"
#include "gooseberryrock/node_list/node_list_update.h"

namespace gooseberryrock::node_list {

struct FollowedNodeList {
  NodeList list;
  // Incarnation of the process whose version the list has; 0 if the list has to
  // be requested whole.
  uint64_t incarnation = 0;
  uint64_t version = 0;
};

enum class UpdateResult {
  kUnchanged,
  kChanged,
  // The changes start from another version, such as those of a late reply.
  kUnsuitable,
  // The digest of the result differs. The list is kept and will be requested
  // whole.
  kRefused,
};

// Applies an update of the process with this incarnation, or nothing at all if
// the result does not have the digest of the update. If `applied` is given, the
// changes of the list are appended to it.
UpdateResult ApplyUpdate(FollowedNodeList& followed,
                         const NodeListUpdate& update,
                         uint64_t incarnation,
                         std::vector<NodeListChange>* applied = nullptr);

}  // namespace gooseberryrock::node_list

#endif  // GOOSEBERRYROCK_NODE_LIST_FOLLOWED_NODE_LIST_H_
