// A node list with its recent changes, from which receivers are kept up to
// date. A member stays listed while any of several sources names it.

#ifndef GOOSEBERRYROCK_NODE_LIST_NODE_LIST_LOG_H_
#define GOOSEBERRYROCK_NODE_LIST_NODE_LIST_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "gooseberryrock/node_list/node_list.h"
#include "gooseberryrock/node_list/node_list_update.h"

namespace gooseberryrock::node_list {

// Changes kept for receivers that are behind; at 100 bytes each 400 KB. More
// than a rolling restart of 2,000 nodes makes; a list of 2,300 nodes is smaller
// than this many changes, so that a receiver further behind takes the list.
inline constexpr size_t kMaxLoggedChanges = 4096;

// Modified only by the functions of this library.
struct NodeListLog {
  NodeList list;
  // Number of changes since the process started.
  uint64_t version = 0;
  // The last changes; the last element made `version`.
  std::deque<NodeListChange> changes;
  // Number of sources that name each member.
  std::map<ListedNode, size_t> sources;
  // List entries hashed or copied so far. Tests check that it does not grow
  // while nothing changes.
  uint64_t operations = 0;
};

// What a receiver says it has.
struct KnownNodeList {
  // Otherwise it needs the whole list, even if that is empty.
  bool has_list = false;
  // Whether `version` is one of this log, rather than of another process.
  bool same_log = false;
  uint64_t version = 0;
  uint64_t digest = 0;
};

void AddSource(NodeListLog& log, const ListedNode& node);
// Ignores nodes that no source names.
void RemoveSource(NodeListLog& log, const ListedNode& node);

// Returns the net changes since the known version; the whole list if the
// receiver has none or another one, if the changes are no longer known, or if
// they are no fewer than the members. A receiver with the digest of the list
// needs neither, whichever process it has the list from.
NodeListUpdate MakeUpdate(NodeListLog& log, const KnownNodeList& known);

}  // namespace gooseberryrock::node_list

#endif  // GOOSEBERRYROCK_NODE_LIST_NODE_LIST_LOG_H_
