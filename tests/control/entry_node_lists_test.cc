// Tests the lists of entry nodes that control VMs exchange.

#include "entry_node_lists.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/convert_node_list.h"
#include "peer.pb.h"

namespace gooseberryrock::control {
namespace {

using std::chrono::seconds;

constexpr SteadyTime kStart{std::chrono::hours(1)};

struct Vm {
  Vm(std::string name, uint64_t vm_incarnation)
      : node{std::move(name)},
        incarnation(vm_incarnation),
        lists(vm_incarnation) {}

  NodeId node;
  uint64_t incarnation;
  EntryNodeLists lists;
};

proto::ControlHello SendHello(Vm& from, Vm& to, SteadyTime now) {
  proto::ControlHello hello;
  from.lists.FillHello(to.node, hello);
  peer::PeerFrame frame;
  frame.sender = from.node;
  frame.incarnation = from.incarnation;
  to.lists.OnHello(frame, hello, now);
  return hello;
}

struct EntryNode {
  proto::EntryPollReply Poll(Vm& vm) {
    proto::EntryPoll poll;
    proto::SetKnownNodeList(nodes, poll);
    proto::EntryPollReply reply;
    vm.lists.AnswerPoll(poll, reply);
    ApplyUpdate(nodes, *proto::ReadNodeListUpdate(reply), vm.incarnation);
    return reply;
  }

  node_list::FollowedNodeList nodes;
};

NodeId Node(int number) {
  return {"node-" + std::to_string(number)};
}

// Guards against a change that reaches entry nodes later than with their next
// poll, or with more than the change.
TEST(EntryNodeListsTest, ChangesReachNodesOfAllControlVms) {
  Vm a("a", 11);
  Vm b("b", 12);
  EntryNode node;
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(a.lists.OnPoll(Node(i), {"x"}, kStart));
    EXPECT_FALSE(a.lists.OnPoll(Node(i), {"x"}, kStart));
  }
  SendHello(a, b, kStart);
  EXPECT_EQ(node.Poll(b).entry_nodes(0).nodes_size(), 50);
  SendHello(b, a, kStart);
  a.lists.OnPoll(Node(50), {"x"}, kStart);
  const auto hello = SendHello(a, b, kStart);
  EXPECT_EQ(hello.entry_nodes_size(), 0);
  EXPECT_EQ(hello.entry_node_changes().added(0).nodes_size(), 1);
  const auto reply = node.Poll(b);
  EXPECT_EQ(reply.entry_nodes_size(), 0);
  EXPECT_EQ(reply.entry_node_changes().added(0).nodes(0), "node-50");
  EXPECT_EQ(node.nodes.list.size, 51U);
  EXPECT_EQ(b.lists.Count(), 51U);
}

// Guards against hellos that carry the list twice a second, and against a lost
// hello that leaves its receiver behind.
TEST(EntryNodeListsTest, HellosRepeatChangesUntilTheyArrive) {
  Vm a("a", 11);
  Vm b("b", 12);
  for (int i = 0; i < 50; ++i) {
    a.lists.OnPoll(Node(i), {"x"}, kStart);
  }
  SendHello(a, b, kStart);
  SendHello(b, a, kStart);
  EXPECT_LT(SendHello(a, b, kStart).ByteSizeLong(), 80U);
  a.lists.OnPoll(Node(50), {"x"}, kStart);
  proto::ControlHello lost;
  a.lists.FillHello(b.node, lost);
  EXPECT_TRUE(lost.has_entry_node_changes());
  a.lists.OnPoll(Node(51), {"x"}, kStart);
  SendHello(a, b, kStart);
  EXPECT_EQ(b.lists.Count(), 52U);
  SendHello(b, a, kStart);
  EXPECT_FALSE(SendHello(a, b, kStart).has_entry_node_changes());
}

// Guards against nodes that stay listed after they stopped, which would keep
// their connections reserved, and against nodes that vanish while they move.
TEST(EntryNodeListsTest, SilentNodesAndControlVmsAreRemoved) {
  Vm a("a", 11);
  Vm b("b", 12);
  a.lists.OnPoll(Node(1), {"x"}, kStart);
  a.lists.OnPoll(Node(2), {"x"}, kStart);
  b.lists.OnPoll(Node(2), {"x"}, kStart);
  SendHello(a, b, kStart);
  EXPECT_EQ(b.lists.Count(), 2U);
  EXPECT_TRUE(b.lists.RemoveLost(kStart + seconds(9)).empty());
  b.lists.OnPoll(Node(2), {"x"}, kStart + seconds(9));
  EXPECT_TRUE(b.lists.RemoveLost(kStart + seconds(10)).empty());
  EXPECT_EQ(b.lists.Count(), 1U);
  EXPECT_EQ(a.lists.RemoveLost(kStart + seconds(10)).size(), 2U);
  a.lists.OnPoll(Node(1), {"x"}, kStart + seconds(10));
  SendHello(b, a, kStart + seconds(10));
  SendHello(a, b, kStart + seconds(10));
  EXPECT_EQ(b.lists.Count(), 2U);
}

// Guards against the list of a control VM's earlier process after its restart,
// and against changes counted from that process.
TEST(EntryNodeListsTest, RestartOfAControlVm) {
  Vm a("a", 11);
  Vm b("b", 12);
  for (int i = 0; i < 5; ++i) {
    a.lists.OnPoll(Node(i), {"x"}, kStart);
  }
  SendHello(a, b, kStart);
  Vm restarted("a", 13);
  restarted.lists.OnPoll(Node(7), {"x"}, kStart);
  SendHello(restarted, b, kStart);
  EXPECT_EQ(b.lists.Count(), 1U);
  SendHello(b, restarted, kStart);
  EXPECT_FALSE(SendHello(restarted, b, kStart).entry_nodes_whole());
}

// Guards against a node counted in two failure domains after a change of its
// settings.
TEST(EntryNodeListsTest, NodeMayChangeItsDomain) {
  Vm a("a", 11);
  a.lists.OnPoll(Node(1), {"x"}, kStart);
  EXPECT_FALSE(a.lists.OnPoll(Node(1), {"y"}, kStart));
  EntryNode node;
  const auto reply = node.Poll(a);
  ASSERT_EQ(reply.entry_nodes_size(), 1);
  EXPECT_EQ(reply.entry_nodes(0).failure_domain(), "y");
}

// Guards against missing nodes while control VMs of two releases run: the
// earlier one sends whole lists without a digest and needs whole lists.
TEST(EntryNodeListsTest, ControlVmOfAnEarlierRelease) {
  Vm a("a", 11);
  a.lists.OnPoll(Node(1), {"x"}, kStart);
  proto::ControlHello earlier;
  auto& nodes = *earlier.add_entry_nodes();
  nodes.set_failure_domain("y");
  nodes.add_nodes("node-2");
  peer::PeerFrame frame;
  frame.sender = {"b"};
  frame.incarnation = 12;
  for (int i = 0; i < 2; ++i) {
    a.lists.OnHello(frame, earlier, kStart);
    EXPECT_EQ(a.lists.Count(), 2U);
    proto::ControlHello hello;
    a.lists.FillHello({"b"}, hello);
    EXPECT_EQ(hello.entry_nodes_size(), 1);
  }
  earlier.clear_entry_nodes();
  a.lists.OnHello(frame, earlier, kStart);
  EXPECT_EQ(a.lists.Count(), 1U);
}

// Guards against wrong plans while entry nodes and control VMs of two releases
// run: an earlier node names only the digest of its last reply.
TEST(EntryNodeListsTest, EntryNodeOfAnEarlierRelease) {
  Vm a("a", 11);
  a.lists.OnPoll(Node(1), {"x"}, kStart);
  proto::EntryPoll poll;
  proto::EntryPollReply reply;
  a.lists.AnswerPoll(poll, reply);
  EXPECT_EQ(reply.entry_nodes_size(), 1);
  poll.set_entry_nodes_digest(reply.entry_nodes_digest());
  reply.Clear();
  a.lists.AnswerPoll(poll, reply);
  EXPECT_EQ(reply.entry_nodes_size(), 0);
  a.lists.OnPoll(Node(2), {"x"}, kStart);
  reply.Clear();
  a.lists.AnswerPoll(poll, reply);
  ASSERT_EQ(reply.entry_nodes_size(), 1);
  EXPECT_EQ(reply.entry_nodes(0).nodes_size(), 2);
}

// Guards against a node that ignores the lists of an earlier control VM, whose
// digests are of another kind, or takes an empty reply for an empty list.
TEST(EntryNodeListsTest, ReplyOfAnEarlierRelease) {
  proto::EntryPollReply reply;
  EXPECT_FALSE(proto::ReadNodeListUpdate(reply));
  reply.set_entry_nodes_digest(99);
  EXPECT_FALSE(proto::ReadNodeListUpdate(reply));
  auto& nodes = *reply.add_entry_nodes();
  nodes.set_failure_domain("x");
  nodes.add_nodes("node-1");
  node_list::FollowedNodeList followed;
  EXPECT_EQ(ApplyUpdate(followed, *proto::ReadNodeListUpdate(reply), 11),
            node_list::UpdateResult::kChanged);
  EXPECT_EQ(followed.list.size, 1U);
}

}  // namespace
}  // namespace gooseberryrock::control
