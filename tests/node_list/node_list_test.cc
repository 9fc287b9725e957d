// Tests node lists, their change logs and the copies that receivers keep.

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/node_list/followed_node_list.h"
#include "gooseberryrock/node_list/node_list_log.h"

namespace gooseberryrock::node_list {
namespace {

using Kind = NodeListUpdate::Kind;

ListedNode Node(size_t number) {
  return {{"domain-" + std::to_string(number % 3)},
          {"node-" + std::to_string(number)}};
}

NodeListLog MakeLog(size_t nodes) {
  NodeListLog log;
  for (size_t i = 0; i < nodes; ++i) {
    AddSource(log, Node(i));
  }
  return log;
}

KnownNodeList Known(const FollowedNodeList& followed, uint64_t incarnation) {
  return {followed.incarnation != 0, followed.incarnation == incarnation,
          followed.version,
          followed.incarnation == 0 ? 0 : followed.list.digest};
}

UpdateResult Exchange(NodeListLog& log,
                      uint64_t incarnation,
                      FollowedNodeList& followed) {
  return ApplyUpdate(followed, MakeUpdate(log, Known(followed, incarnation)),
                     incarnation);
}

// Guards against a digest that depends on the order of the changes, by which
// two control VMs with the same nodes would send whole lists, and against one
// that does not tell domains apart.
TEST(NodeListTest, DigestDependsOnMembersOnly) {
  NodeList a;
  NodeList b;
  Add(a, Node(1));
  Add(a, Node(2));
  Add(a, Node(3));
  EXPECT_TRUE(Remove(a, Node(3)));
  EXPECT_FALSE(Remove(a, Node(3)));
  Add(b, Node(2));
  Add(b, Node(1));
  EXPECT_FALSE(Add(b, Node(1)));
  EXPECT_EQ(a.digest, b.digest);
  EXPECT_EQ(a.nodes, b.nodes);
  EXPECT_EQ(a.size, 2U);
  Remove(b, Node(1));
  Add(b, {Node(2).domain, Node(1).node});
  EXPECT_NE(a.digest, b.digest);
}

// Guards against the load of 300 polling nodes: without a change, an exchange
// must neither copy nor hash the list.
TEST(NodeListLogTest, SteadyExchangeTakesNoOperations) {
  NodeListLog log = MakeLog(1000);
  FollowedNodeList followed;
  EXPECT_EQ(Exchange(log, 7, followed), UpdateResult::kChanged);
  const uint64_t operations = log.operations;
  const NodeListUpdate update = MakeUpdate(log, Known(followed, 7));
  EXPECT_EQ(update.kind, Kind::kNone);
  EXPECT_TRUE(update.changes.empty());
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kUnchanged);
  EXPECT_EQ(log.operations, operations);
}

// Guards against sending the whole list after the restart of one node.
TEST(NodeListLogTest, SendsNetChanges) {
  NodeListLog log = MakeLog(100);
  FollowedNodeList followed;
  Exchange(log, 7, followed);
  RemoveSource(log, Node(5));
  AddSource(log, Node(200));
  RemoveSource(log, Node(6));
  AddSource(log, Node(6));
  const NodeListUpdate update = MakeUpdate(log, Known(followed, 7));
  EXPECT_EQ(update.kind, Kind::kChanges);
  EXPECT_EQ(update.changes.size(), 2U);
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kChanged);
  EXPECT_EQ(followed.list.nodes, log.list.nodes);
}

// Guards against removing a node that moved to another control VM, while both
// name it.
TEST(NodeListLogTest, NodeStaysListedWhileAnySourceNamesIt) {
  NodeListLog log = MakeLog(2);
  const uint64_t version = log.version;
  AddSource(log, Node(1));
  RemoveSource(log, Node(1));
  EXPECT_EQ(log.version, version);
  EXPECT_EQ(log.list.size, 2U);
  RemoveSource(log, Node(1));
  RemoveSource(log, Node(1));
  EXPECT_EQ(log.list.size, 1U);
}

// Guards against a node that is stuck after it was too far behind.
TEST(NodeListLogTest, SendsWholeListAfterTooManyChanges) {
  NodeListLog log = MakeLog(100);
  FollowedNodeList followed;
  Exchange(log, 7, followed);
  for (size_t i = 0; i <= kMaxLoggedChanges / 2; ++i) {
    AddSource(log, Node(1000 + i));
    RemoveSource(log, Node(1000 + i));
  }
  AddSource(log, Node(1000));
  const NodeListUpdate update = MakeUpdate(log, Known(followed, 7));
  EXPECT_EQ(update.kind, Kind::kWhole);
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kChanged);
  EXPECT_EQ(followed.list.nodes, log.list.nodes);
  EXPECT_LE(log.changes.size(), kMaxLoggedChanges);
}

// Guards against whole lists when all nodes of a failure domain move to another
// control VM that has the same list, and against changes counted from a version
// of another process.
TEST(NodeListLogTest, MoveToAnotherControlVm) {
  NodeListLog a = MakeLog(50);
  NodeListLog b = MakeLog(60);
  for (size_t i = 50; i < 60; ++i) {
    RemoveSource(b, Node(i));
  }
  FollowedNodeList followed;
  Exchange(a, 7, followed);
  EXPECT_EQ(MakeUpdate(b, Known(followed, 8)).kind, Kind::kNone);
  EXPECT_EQ(Exchange(b, 8, followed), UpdateResult::kUnchanged);
  EXPECT_EQ(followed.incarnation, 8U);
  AddSource(b, Node(70));
  EXPECT_EQ(MakeUpdate(b, Known(followed, 8)).kind, Kind::kChanges);
  // The process with incarnation 8 is replaced.
  EXPECT_EQ(MakeUpdate(b, Known(followed, 9)).kind, Kind::kWhole);
}

// Guards against a plan for an empty list or a stale one: a receiver without a
// list, or that emptied, is told so.
TEST(NodeListLogTest, EmptyList) {
  NodeListLog log;
  FollowedNodeList followed;
  EXPECT_EQ(MakeUpdate(log, Known(followed, 7)).kind, Kind::kWhole);
  Add(followed.list, Node(1));
  EXPECT_EQ(Exchange(log, 7, followed), UpdateResult::kChanged);
  EXPECT_EQ(followed.list.size, 0U);
  EXPECT_EQ(MakeUpdate(log, Known(followed, 7)).kind, Kind::kNone);
}

// Guards against a wrong connection plan, which would overload the servers:
// changes whose result has another digest are not applied, and the whole list
// is requested.
TEST(FollowedNodeListTest, WrongDigestIsRefused) {
  NodeListLog log = MakeLog(100);
  FollowedNodeList followed;
  Exchange(log, 7, followed);
  const NodeList before = followed.list;
  AddSource(log, Node(200));
  RemoveSource(log, Node(3));
  NodeListUpdate update = MakeUpdate(log, Known(followed, 7));
  update.changes.pop_back();
  std::vector<NodeListChange> applied;
  EXPECT_EQ(ApplyUpdate(followed, update, 7, &applied), UpdateResult::kRefused);
  EXPECT_EQ(followed.list.nodes, before.nodes);
  EXPECT_EQ(followed.list.digest, before.digest);
  EXPECT_TRUE(applied.empty());
  update = MakeUpdate(log, Known(followed, 7));
  EXPECT_EQ(update.kind, Kind::kWhole);
  NodeListUpdate damaged = update;
  damaged.changes.pop_back();
  EXPECT_EQ(ApplyUpdate(followed, damaged, 7), UpdateResult::kRefused);
  EXPECT_EQ(followed.list.nodes, before.nodes);
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kChanged);
  EXPECT_EQ(followed.list.nodes, log.list.nodes);
}

// Guards against late replies: changes from another version or process, or an
// older list, are ignored.
TEST(FollowedNodeListTest, LateUpdatesAreIgnored) {
  NodeListLog log = MakeLog(100);
  FollowedNodeList followed;
  const NodeListUpdate first = MakeUpdate(log, Known(followed, 7));
  ApplyUpdate(followed, first, 7);
  AddSource(log, Node(200));
  const NodeListUpdate update = MakeUpdate(log, Known(followed, 7));
  EXPECT_EQ(ApplyUpdate(followed, update, 8), UpdateResult::kUnsuitable);
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kChanged);
  EXPECT_EQ(ApplyUpdate(followed, update, 7), UpdateResult::kUnsuitable);
  EXPECT_EQ(ApplyUpdate(followed, first, 7), UpdateResult::kUnsuitable);
  EXPECT_EQ(followed.list.nodes, log.list.nodes);
}

// Guards against receivers that never agree with their senders. Updates are
// lost, repeated and damaged at random, and senders restart.
TEST(FollowedNodeListTest, AgreesAfterRandomFaults) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    NodeListLog log = MakeLog(20);
    uint64_t incarnation = 1;
    FollowedNodeList followed;
    NodeListUpdate earlier;
    for (int step = 0; step < 300; ++step) {
      const ListedNode node = Node(random() % 40);
      if (log.sources.contains(node)) {
        RemoveSource(log, node);
      } else {
        AddSource(log, node);
      }
      if (random() % 50 == 0) {
        log = MakeLog(random() % 20);
        ++incarnation;
        earlier = {};
      }
      NodeListUpdate update = MakeUpdate(log, Known(followed, incarnation));
      if (random() % 4 == 0) {
        continue;
      }
      const bool damaged = random() % 10 == 0 && !update.changes.empty();
      if (damaged) {
        update.changes.front().node = Node(100);
      }
      const auto result = ApplyUpdate(followed, update, incarnation);
      EXPECT_EQ(result == UpdateResult::kRefused, damaged);
      if (result != UpdateResult::kRefused) {
        EXPECT_EQ(followed.list.nodes, log.list.nodes);
      }
      if (earlier.to > 0 && random() % 3 == 0) {
        ApplyUpdate(followed, earlier, incarnation);
      }
      earlier = update;
    }
    EXPECT_NE(Exchange(log, incarnation, followed), UpdateResult::kRefused);
    EXPECT_EQ(followed.list.nodes, log.list.nodes) << "seed " << seed;
  }
}

}  // namespace
}  // namespace gooseberryrock::node_list
