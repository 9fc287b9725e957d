// The entry nodes known to a control VM: those that poll it, and those that
// poll the other control VMs.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ENTRY_NODE_LISTS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ENTRY_NODE_LISTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/node_list/followed_node_list.h"
#include "gooseberryrock/node_list/node_list_log.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::proto {
class ControlHello;
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

// Thread-safe. The cost of each call depends on the changes since the last one,
// not on the number of nodes, except for RemoveLost() and, while a control VM
// is silent, FindMovedNodes().
class EntryNodeLists {
 public:
  // `incarnation` identifies this process; versions restart with each one.
  explicit EntryNodeLists(uint64_t incarnation) : incarnation_(incarnation) {}

  // Records a poll of an entry node. Returns whether the node was unknown.
  bool OnPoll(const NodeId& node, const FailureDomain& domain, SteadyTime now);
  // Adds what the entry node lacks of the list of all nodes.
  void AnswerPoll(const proto::EntryPoll& poll, proto::EntryPollReply& reply);

  // Takes over the changes of the nodes that poll another control VM.
  void OnHello(const peer::PeerFrame& frame,
               const proto::ControlHello& hello,
               SteadyTime now);
  // Adds what `to` lacks of the nodes that poll this VM, and names what this VM
  // has of those that poll `to`.
  void FillHello(const NodeId& to, proto::ControlHello& hello);

  // Removes the nodes that have stopped polling this VM, and those of control
  // VMs that are silent. Returns the former.
  std::vector<NodeId> RemoveLost(SteadyTime now);

  // Returns for each control VM that has been silent for a second the part of
  // its nodes that poll this VM or one that is present.
  std::map<NodeId, double> FindMovedNodes(SteadyTime now) const;
  // Number of nodes that poll any control VM.
  size_t Count() const;
  // List entries copied, hashed or encoded so far.
  uint64_t Operations() const;

 private:
  struct Peer {
    node_list::FollowedNodeList nodes;
    SteadyTime last_contact;
    // What the peer has of `own_`.
    node_list::KnownNodeList known;
  };

  static bool IsPresent(const Peer& peer, SteadyTime now);
  // Whether the node polls this VM or one that is present. Requires `mutex_`.
  bool IsHeard(const node_list::ListedNode& node, SteadyTime now) const;

  const uint64_t incarnation_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`. The nodes that poll this VM, with the time of the last
  // poll.
  std::map<NodeId, std::pair<FailureDomain, SteadyTime>> polls_;
  // The members of `polls_`.
  node_list::NodeListLog own_;
  // The members of `own_` and of the lists in `peers_`.
  node_list::NodeListLog all_;
  std::map<NodeId, Peer> peers_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ENTRY_NODE_LISTS_H_
