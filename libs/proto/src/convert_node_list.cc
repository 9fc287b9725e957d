// Conversions between updates of the list of entry nodes and their messages.

#include "gooseberryrock/proto/convert_node_list.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <vector>

#include "gooseberryrock/node_list/followed_node_list.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {

namespace {

using node_list::NodeListChange;
using node_list::NodeListUpdate;
using Groups = google::protobuf::RepeatedPtrField<EntryNodes>;

// The changes are in the order of the domains.
void AddGroups(const std::vector<NodeListChange>& changes,
               bool added,
               Groups& groups) {
  for (const NodeListChange& it : changes) {
    if (it.added != added) {
      continue;
    }
    if (groups.empty() ||
        groups.rbegin()->failure_domain() != it.node.domain.value) {
      groups.Add()->set_failure_domain(it.node.domain.value);
    }
    groups.rbegin()->add_nodes(it.node.node.value);
  }
}

void ReadGroups(const Groups& groups,
                bool added,
                std::vector<NodeListChange>& changes) {
  for (const EntryNodes& group : groups) {
    for (const std::string& it : group.nodes()) {
      changes.push_back({{{group.failure_domain()}, {it}}, added});
    }
  }
}

template <typename Message>
void SetUpdate(const NodeListUpdate& update, Message& message) {
  message.set_entry_nodes_version(update.to);
  message.set_entry_nodes_digest(update.digest);
  if (update.kind == NodeListUpdate::Kind::kWhole) {
    AddGroups(update.changes, /*added=*/true, *message.mutable_entry_nodes());
  } else if (update.kind == NodeListUpdate::Kind::kChanges) {
    EntryNodeChanges& changes = *message.mutable_entry_node_changes();
    changes.set_from(update.from);
    AddGroups(update.changes, /*added=*/true, *changes.mutable_added());
    AddGroups(update.changes, /*added=*/false, *changes.mutable_removed());
  }
}

template <typename Message>
NodeListUpdate ReadUpdate(const Message& message, bool is_whole) {
  NodeListUpdate update;
  update.to = message.entry_nodes_version();
  update.digest = message.entry_nodes_digest();
  if (is_whole) {
    update.kind = NodeListUpdate::Kind::kWhole;
    ReadGroups(message.entry_nodes(), /*added=*/true, update.changes);
  } else if (message.has_entry_node_changes()) {
    update.kind = NodeListUpdate::Kind::kChanges;
    update.from = message.entry_node_changes().from();
    ReadGroups(message.entry_node_changes().added(), /*added=*/true,
               update.changes);
    ReadGroups(message.entry_node_changes().removed(), /*added=*/false,
               update.changes);
  }
  if (!message.has_entry_nodes_version()) {
    node_list::NodeList list;
    for (const NodeListChange& it : update.changes) {
      Add(list, it.node);
    }
    update.digest = list.digest;
  }
  return update;
}

}  // namespace

void SetKnownNodeList(const node_list::FollowedNodeList& known,
                      EntryPoll& poll) {
  poll.set_entry_nodes_incarnation(known.incarnation);
  poll.set_entry_nodes_version(known.version);
  poll.set_entry_nodes_digest(known.incarnation == 0 ? 0 : known.list.digest);
}

node_list::KnownNodeList ReadKnownNodeList(const EntryPoll& poll,
                                           uint64_t incarnation) {
  // Nodes of earlier releases name only the digest.
  return {poll.entry_nodes_digest() != 0,
          poll.entry_nodes_incarnation() == incarnation,
          poll.entry_nodes_version(), poll.entry_nodes_digest()};
}

void SetKnownNodeList(const node_list::FollowedNodeList& known,
                      ControlHello& hello) {
  hello.set_known_entry_nodes_incarnation(known.incarnation);
  hello.set_known_entry_nodes_version(known.version);
  hello.set_known_entry_nodes_digest(
      known.incarnation == 0 ? 0 : known.list.digest);
}

node_list::KnownNodeList ReadKnownNodeList(const ControlHello& hello,
                                           uint64_t incarnation) {
  return {hello.known_entry_nodes_incarnation() != 0,
          hello.known_entry_nodes_incarnation() == incarnation,
          hello.known_entry_nodes_version(), hello.known_entry_nodes_digest()};
}

void SetNodeListUpdate(const NodeListUpdate& update, EntryPollReply& reply) {
  SetUpdate(update, reply);
}

void SetNodeListUpdate(const NodeListUpdate& update, ControlHello& hello) {
  SetUpdate(update, hello);
  hello.set_entry_nodes_whole(update.kind == NodeListUpdate::Kind::kWhole);
}

std::optional<NodeListUpdate> ReadNodeListUpdate(const EntryPollReply& reply) {
  if (!reply.has_entry_nodes_version() && reply.entry_nodes().empty()) {
    return std::nullopt;
  }
  return ReadUpdate(reply, !reply.entry_nodes().empty());
}

NodeListUpdate ReadNodeListUpdate(const ControlHello& hello) {
  return ReadUpdate(
      hello, hello.entry_nodes_whole() || !hello.has_entry_nodes_version());
}

}  // namespace gooseberryrock::proto
