// A copy of a node list that another process keeps.

#include "gooseberryrock/node_list/followed_node_list.h"

#include <utility>

namespace gooseberryrock::node_list {

namespace {

bool Apply(NodeList& list, const NodeListChange& change) {
  return change.added ? Add(list, change.node) : Remove(list, change.node);
}

// Appends the changes that lead from `from` to `to`.
void AppendDifference(const NodeList& from,
                      const NodeList& to,
                      std::vector<NodeListChange>& changes) {
  const auto contains = [](const NodeList& list, const FailureDomain& domain,
                           const NodeId& node) {
    auto it = list.nodes.find(domain);
    return it != list.nodes.end() && it->second.contains(node);
  };
  for (const auto& [domain, nodes] : from.nodes) {
    for (const NodeId& it : nodes) {
      if (!contains(to, domain, it)) {
        changes.push_back({{domain, it}, /*added=*/false});
      }
    }
  }
  for (const auto& [domain, nodes] : to.nodes) {
    for (const NodeId& it : nodes) {
      if (!contains(from, domain, it)) {
        changes.push_back({{domain, it}, /*added=*/true});
      }
    }
  }
}

UpdateResult Refuse(FollowedNodeList& followed) {
  followed.incarnation = 0;
  followed.version = 0;
  return UpdateResult::kRefused;
}

UpdateResult ApplyWhole(FollowedNodeList& followed,
                        const NodeListUpdate& update,
                        std::vector<NodeListChange>* applied) {
  NodeList list;
  for (const NodeListChange& it : update.changes) {
    Apply(list, it);
  }
  if (list.digest != update.digest) {
    return Refuse(followed);
  }
  const bool changed = list.nodes != followed.list.nodes;
  if (applied != nullptr) {
    AppendDifference(followed.list, list, *applied);
  }
  followed.list = std::move(list);
  return changed ? UpdateResult::kChanged : UpdateResult::kUnchanged;
}

UpdateResult ApplyChanges(FollowedNodeList& followed,
                          const NodeListUpdate& update,
                          std::vector<NodeListChange>* applied) {
  std::vector<NodeListChange> done;
  for (const NodeListChange& it : update.changes) {
    if (Apply(followed.list, it)) {
      done.push_back(it);
    }
  }
  if (followed.list.digest != update.digest) {
    for (const NodeListChange& it : done) {
      Apply(followed.list, {it.node, !it.added});
    }
    return Refuse(followed);
  }
  if (applied != nullptr) {
    applied->insert(applied->end(), done.begin(), done.end());
  }
  return done.empty() ? UpdateResult::kUnchanged : UpdateResult::kChanged;
}

}  // namespace

UpdateResult ApplyUpdate(FollowedNodeList& followed,
                         const NodeListUpdate& update,
                         uint64_t incarnation,
                         std::vector<NodeListChange>* applied) {
  UpdateResult result = UpdateResult::kUnchanged;
  if (followed.incarnation == incarnation && update.to < followed.version) {
    return UpdateResult::kUnsuitable;
  }
  switch (update.kind) {
    case NodeListUpdate::Kind::kNone:
      // The reply to an earlier poll, before the list changed.
      if (update.digest != followed.list.digest) {
        return UpdateResult::kUnsuitable;
      }
      break;
    case NodeListUpdate::Kind::kChanges:
      if (followed.incarnation != incarnation ||
          followed.version != update.from) {
        return UpdateResult::kUnsuitable;
      }
      result = ApplyChanges(followed, update, applied);
      break;
    case NodeListUpdate::Kind::kWhole:
      result = ApplyWhole(followed, update, applied);
      break;
  }
  if (result != UpdateResult::kRefused) {
    followed.incarnation = incarnation;
    followed.version = update.to;
  }
  return result;
}

}  // namespace gooseberryrock::node_list
