// A node list with its recent changes.

#include "gooseberryrock/node_list/node_list_log.h"

#include <utility>

namespace gooseberryrock::node_list {

namespace {

void Record(NodeListLog& log, const ListedNode& node, bool added) {
  ++log.version;
  ++log.operations;
  log.changes.push_back({node, added});
  if (log.changes.size() > kMaxLoggedChanges) {
    log.changes.pop_front();
  }
}

// Requires that the log goes back to `since`.
std::vector<NodeListChange> NetChanges(NodeListLog& log, uint64_t since) {
  // A change always alters the list, so that an even number of changes of one
  // member leaves it as it was.
  std::map<ListedNode, std::pair<size_t, bool>> last;
  for (size_t i = log.changes.size() - (log.version - since);
       i < log.changes.size(); ++i) {
    auto& [count, added] = last[log.changes[i].node];
    ++count;
    added = log.changes[i].added;
    ++log.operations;
  }
  std::vector<NodeListChange> changes;
  for (const auto& [node, state] : last) {
    if (state.first % 2 == 1) {
      changes.push_back({node, state.second});
      ++log.operations;
    }
  }
  return changes;
}

}  // namespace

void AddSource(NodeListLog& log, const ListedNode& node) {
  if (++log.sources[node] == 1) {
    Add(log.list, node);
    Record(log, node, /*added=*/true);
  }
}

void RemoveSource(NodeListLog& log, const ListedNode& node) {
  auto it = log.sources.find(node);
  if (it == log.sources.end()) {
    return;
  }
  if (--it->second == 0) {
    log.sources.erase(it);
    Remove(log.list, node);
    Record(log, node, /*added=*/false);
  }
}

NodeListUpdate MakeUpdate(NodeListLog& log, const KnownNodeList& known) {
  NodeListUpdate update;
  update.to = log.version;
  update.from = known.version;
  update.digest = log.list.digest;
  if (known.has_list && known.digest == log.list.digest) {
    return update;
  }
  const bool has_changes = known.has_list && known.same_log &&
                           known.version <= log.version &&
                           log.version - known.version <= log.changes.size();
  // An equal version with another digest is a damaged copy.
  if (has_changes && known.version < log.version) {
    update.changes = NetChanges(log, known.version);
    if (update.changes.size() < log.list.size) {
      update.kind = NodeListUpdate::Kind::kChanges;
      return update;
    }
    update.changes.clear();
  }
  update.kind = NodeListUpdate::Kind::kWhole;
  for (const auto& [domain, nodes] : log.list.nodes) {
    for (const NodeId& it : nodes) {
      update.changes.push_back({{domain, it}, /*added=*/true});
      ++log.operations;
    }
  }
  return update;
}

}  // namespace gooseberryrock::node_list
