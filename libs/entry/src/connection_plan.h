// Derives the connection plan of this node from the list of entry nodes.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_PLAN_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_PLAN_H_

#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/entry/server_change.h"

namespace gooseberryrock::node_list {
struct NodeList;
}  // namespace gooseberryrock::node_list

namespace gooseberryrock::entry {

// Returns nullopt if the list does not contain `self` in `domain`, because the
// control VMs do not know this node yet.
std::optional<ConnectionPlan> MakeConnectionPlan(
    const node_list::NodeList& list,
    const NodeId& self,
    const FailureDomain& domain);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_PLAN_H_
