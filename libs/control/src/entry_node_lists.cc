// The entry nodes known to a control VM.

#include "entry_node_lists.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/convert_node_list.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

// Entry nodes poll every 250 ms. Long enough for a restarted entry node to keep
// its share of the connection limits.
constexpr Duration kEntryNodeTimeout = std::chrono::seconds(10);
// Two hellos; and four polls of entry nodes that have moved here.
constexpr Duration kSilence = std::chrono::seconds(1);

}  // namespace

bool EntryNodeLists::OnPoll(const NodeId& node,
                            const FailureDomain& domain,
                            SteadyTime now) {
  std::lock_guard lock(mutex_);
  auto [it, is_new] = polls_.try_emplace(node, domain, now);
  if (!is_new && it->second.first != domain) {
    RemoveSource(own_, {it->second.first, node});
    RemoveSource(all_, {it->second.first, node});
  }
  if (is_new || it->second.first != domain) {
    AddSource(own_, {domain, node});
    AddSource(all_, {domain, node});
  }
  it->second = {domain, now};
  return is_new;
}

void EntryNodeLists::AnswerPoll(const proto::EntryPoll& poll,
                                proto::EntryPollReply& reply) {
  node_list::NodeListUpdate update;
  {
    std::lock_guard lock(mutex_);
    update = MakeUpdate(all_, proto::ReadKnownNodeList(poll, incarnation_));
    // For the encoding.
    all_.operations += update.changes.size();
  }
  proto::SetNodeListUpdate(update, reply);
}

void EntryNodeLists::OnHello(const peer::PeerFrame& frame,
                             const proto::ControlHello& hello,
                             SteadyTime now) {
  const node_list::NodeListUpdate update = proto::ReadNodeListUpdate(hello);
  std::vector<node_list::NodeListChange> applied;
  std::lock_guard lock(mutex_);
  Peer& peer = peers_[frame.sender];
  peer.last_contact = now;
  peer.known = proto::ReadKnownNodeList(hello, incarnation_);
  if (ApplyUpdate(peer.nodes, update, frame.incarnation, &applied) ==
      node_list::UpdateResult::kRefused) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "entry_nodes_refused",
                        {{"control_vm", frame.sender.value},
                         {"version", std::to_string(update.to)}});
  }
  for (const node_list::NodeListChange& it : applied) {
    if (it.added) {
      AddSource(all_, it.node);
    } else {
      RemoveSource(all_, it.node);
    }
  }
}

void EntryNodeLists::FillHello(const NodeId& to, proto::ControlHello& hello) {
  node_list::NodeListUpdate update;
  {
    std::lock_guard lock(mutex_);
    const Peer& peer = peers_[to];
    update = MakeUpdate(own_, peer.known);
    own_.operations += update.changes.size();
    proto::SetKnownNodeList(peer.nodes, hello);
  }
  hello.clear_entry_nodes();
  hello.clear_entry_node_changes();
  proto::SetNodeListUpdate(update, hello);
}

std::vector<NodeId> EntryNodeLists::RemoveLost(SteadyTime now) {
  std::lock_guard lock(mutex_);
  std::vector<NodeId> lost;
  std::erase_if(polls_, [&](const auto& it) {
    const auto& [node, poll] = it;
    if (now - poll.second < kEntryNodeTimeout) {
      return false;
    }
    lost.push_back(node);
    RemoveSource(own_, {poll.first, node});
    RemoveSource(all_, {poll.first, node});
    return true;
  });
  for (auto& [vm, peer] : peers_) {
    if (peer.nodes.list.size == 0 ||
        now - peer.last_contact < kEntryNodeTimeout) {
      continue;
    }
    for (const auto& [domain, nodes] : peer.nodes.list.nodes) {
      for (const NodeId& it : nodes) {
        RemoveSource(all_, {domain, it});
      }
    }
    // Requests the whole list as soon as the VM is heard again.
    peer.nodes = {};
  }
  return lost;
}

bool EntryNodeLists::IsPresent(const Peer& peer, SteadyTime now) {
  return now - peer.last_contact < kSilence;
}

bool EntryNodeLists::IsHeard(const node_list::ListedNode& node,
                             SteadyTime now) const {
  const auto poll = polls_.find(node.node);
  return (poll != polls_.end() && now - poll->second.second < kSilence) ||
         std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
           return IsPresent(it.second, now) &&
                  Contains(it.second.nodes.list, node);
         });
}

std::map<NodeId, double> EntryNodeLists::FindMovedNodes(SteadyTime now) const {
  std::lock_guard lock(mutex_);
  std::map<NodeId, double> moved;
  for (const auto& [vm, peer] : peers_) {
    if (IsPresent(peer, now) || peer.nodes.list.size == 0) {
      continue;
    }
    size_t n = 0;
    for (const auto& [domain, nodes] : peer.nodes.list.nodes) {
      for (const NodeId& it : nodes) {
        n += IsHeard({domain, it}, now) ? 1 : 0;
      }
    }
    moved[vm] =
        static_cast<double>(n) / static_cast<double>(peer.nodes.list.size);
  }
  return moved;
}

size_t EntryNodeLists::Count() const {
  std::lock_guard lock(mutex_);
  return all_.list.size;
}

uint64_t EntryNodeLists::Operations() const {
  std::lock_guard lock(mutex_);
  return own_.operations + all_.operations;
}

}  // namespace gooseberryrock::control
