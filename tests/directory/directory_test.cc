// Tests of merging, ownership, expiry and exchange of records.

#include "gooseberryrock/directory/directory.h"

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/directory/ownership.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "peer.pb.h"

namespace gooseberryrock::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const SteadyTime kStart{};
const NodeId kA{"a"};
const NodeId kB{"b"};

ServerRecord Server(const std::string& id,
                    ServerState state = ServerState::kReady,
                    uint64_t incarnation = 1) {
  ServerRecord record;
  record.id.value = id;
  record.incarnation = incarnation;
  record.state = state;
  record.service.value = "chairs";
  record.failure_domain.value = "x";
  record.host = "127.0.0.1";
  record.port = 80;
  record.replicas = {{1, {"s0"}, {4, 5}}};
  return record;
}

// Guards against late messages that restore a draining server.
TEST(DirectoryTest, EarlierStateOrIncarnationIsIgnored) {
  Directory directory;
  AcceptAnnouncement(directory, Server("1", ServerState::kDraining, 2), kA,
                     kStart);
  ServerRecord late = Server("1", ServerState::kReady, 2);
  late.sequence = 9;
  EXPECT_FALSE(AcceptAnnouncement(directory, late, kA, kStart));
  late.owner = kB;
  late.owner_epoch = 9;
  EXPECT_FALSE(MergeRecord(directory, late, kB, kStart));
  EXPECT_FALSE(AcceptAnnouncement(
      directory, Server("1", ServerState::kReady, 1), kA, kStart));
  EXPECT_TRUE(AcceptAnnouncement(directory, Server("1", ServerState::kReady, 3),
                                 kA, kStart));
}

// Guards against a late message that prevents a draining server from expiring.
TEST(DirectoryTest, OnlyTheCurrentAnnouncementRenews) {
  Directory directory;
  AcceptAnnouncement(directory, Server("1", ServerState::kDraining), kA,
                     kStart);
  AcceptAnnouncement(directory, Server("1"), kA, kStart + seconds(2));
  EXPECT_EQ(
      ExpireServers(directory, kA, seconds(2), kStart + milliseconds(2001))
          .size(),
      1U);
}

// Guards against one frame with the whole directory for each starting node, and
// against records lost between two parts while records change.
TEST(DirectoryTest, ChangesAreReturnedInParts) {
  Directory directory;
  for (int i = 0; i < 10; ++i) {
    AcceptAnnouncement(directory, Server(std::to_string(i)), kA, kStart);
  }
  Directory copy;
  DirectoryChanges changes;
  for (int parts = 0; parts == 0 || changes.has_more; ++parts) {
    ASSERT_LT(parts, 10);
    changes = SomeChangesSince(directory, changes.to, 4);
    EXPECT_LE(changes.records.size(), 4U);
    for (const ServerRecord& it : changes.records) {
      MergeRecord(copy, it, kA, kStart);
    }
    if (parts == 0) {
      AcceptAnnouncement(directory, Server("1", ServerState::kDraining), kA,
                         kStart);
      AcceptAnnouncement(directory, Server("7", ServerState::kDraining), kA,
                         kStart);
    }
  }
  EXPECT_EQ(changes.to, directory.change_count);
  EXPECT_EQ(MakeRootDigest(copy).root, MakeRootDigest(directory).root);
  EXPECT_FALSE(SomeChangesSince(directory, changes.to, 4).has_more);
  EXPECT_FALSE(SomeChangesSince(directory, 0, 10).has_more);
}

TEST(DirectoryTest, AnnouncementThroughAnotherNodeMovesOwnership) {
  Directory at_a;
  Directory at_b;
  AcceptAnnouncement(at_a, Server("1"), kA, kStart);
  MergeRecord(at_b, ChangesSince(at_a, 0).at(0), kA, kStart);
  EXPECT_TRUE(AcceptAnnouncement(at_b, Server("1"), kB, kStart));
  EXPECT_TRUE(MergeRecord(at_a, ChangesSince(at_b, 0).at(0), kB, kStart));
  EXPECT_EQ(at_a.entries.at({"1"}).record.owner, kB);
  EXPECT_TRUE(ExpireServers(at_a, kA, seconds(2), kStart + minutes(1)).empty());
  EXPECT_EQ(ExpireServers(at_b, kB, seconds(2), kStart + minutes(1)).size(),
            1U);
}

// Guards against an owner that declares servers on the other side of a
// partition gone, during the partition or immediately after it ends.
TEST(DirectoryTest, ServersOfUnreachableDomainDoNotExpire) {
  Directory directory;
  DomainContacts contacts;
  AcceptAnnouncement(directory, Server("1"), kA, kStart);
  OnContact(contacts, {"x"}, {"y"}, kStart);
  const auto expired_at = [&](SteadyTime now) {
    return ExpireServers(directory, kA, contacts, seconds(2), now).size();
  };
  EXPECT_EQ(expired_at(kStart + minutes(60)), 0U);
  SteadyTime now = kStart + minutes(60);
  const SteadyTime due = now + kRepairGrace + seconds(2);
  for (; now <= due; now += kContactGap) {
    OnContact(contacts, {"x"}, {"y"}, now);
    EXPECT_EQ(expired_at(now), 0U);
  }
  OnContact(contacts, {"x"}, {"y"}, now);
  EXPECT_EQ(expired_at(now), 1U);
}

TEST(DirectoryTest, LowestNodeOfTheSameDomainAdopts) {
  const NodeDomains live{{{"a"}, {"x"}}, {{"b"}, {"y"}}, {{"c"}, {"y"}}};
  const NodeDomains lost{{{"d"}, {"y"}}, {{"e"}, {"z"}}};
  for (const auto& [self, domain] : live) {
    Directory directory;
    for (const std::string owner : {"d", "e"}) {
      AcceptAnnouncement(directory, Server(owner + "-server"), {owner}, kStart);
    }
    std::string adopted;
    for (const auto& record :
         TakeOverRecords(directory, live, lost, self, kStart)) {
      adopted += record.id.value;
      EXPECT_EQ(record.owner_epoch, 2U);
    }
    const std::map<NodeId, std::string> expected{
        {{"a"}, "e-server"}, {{"b"}, "d-server"}, {{"c"}, ""}};
    EXPECT_EQ(adopted, expected.at(self));
    EXPECT_EQ(FindLostOwners(directory, live).size(),
              adopted.empty() ? 2U : 1U);
  }
}

// Guards against records that are never removed, and against a server that
// returns because its record was removed too early.
TEST(DirectoryTest, GoneServerIsRememberedForTenMinutes) {
  Directory directory;
  AcceptAnnouncement(directory, Server("1"), kA, kStart);
  AcceptAnnouncement(directory, Server("1", ServerState::kGone), kA, kStart);
  EXPECT_EQ(RemoveGone(directory, kStart + minutes(10) - seconds(1)), 0U);
  EXPECT_FALSE(AcceptAnnouncement(directory, Server("1"), kB, kStart));
  EXPECT_TRUE(NeedsNewIncarnation(directory, Server("1")));
  EXPECT_EQ(RemoveGone(directory, kStart + minutes(10)), 1U);
  EXPECT_TRUE(directory.entries.empty());
  EXPECT_TRUE(directory.changes.empty());
  EXPECT_TRUE(directory.by_leaf.empty());
  EXPECT_TRUE(directory.by_owner.empty());
}

// Guards against unbounded memory use with forged or frequently changing ids.
TEST(DirectoryTest, NumberOfRecordsIsBounded) {
  Directory directory;
  AcceptAnnouncement(directory, Server("gone", ServerState::kGone), kA, kStart);
  for (size_t i = 0; i < kMaxRecords; ++i) {
    AcceptAnnouncement(directory, Server(std::to_string(i)), kA, kStart);
  }
  EXPECT_FALSE(AcceptAnnouncement(directory, Server("more"), kA, kStart));
  EXPECT_EQ(directory.refused_full, 1U);
  EXPECT_FALSE(directory.entries.contains({"gone"}));
  EXPECT_EQ(directory.entries.size(), kMaxRecords);
}

// Guards against sending a change back to its sender, or sending it twice.
TEST(DirectoryTest, DeltaHoldsEachChangeOnceAndNotForItsSender) {
  Directory directory;
  DirectoryExchange exchange;
  MergeRecord(directory, Server("1"), kB, kStart);
  for (uint64_t sequence : {1, 2, 3}) {
    ServerRecord record = Server("2");
    record.sequence = sequence;
    AcceptAnnouncement(directory, record, kA, kStart);
  }
  const auto delta = TakeDelta(directory, exchange, {kB, true});
  ASSERT_TRUE(delta);
  ASSERT_EQ(delta->records.size(), 1U);
  EXPECT_EQ(delta->records[0].sequence, 3U);
  EXPECT_FALSE(TakeDelta(directory, exchange, {kB, true}));
  const auto records_for = [&](const ExchangePeer& peer) {
    return TakeDelta(directory, exchange, peer)->records.size();
  };
  EXPECT_EQ(records_for({{"c"}, true}), 2U);
  EXPECT_EQ(records_for({{"d"}, false}), 1U);
}

// Guards against a lost delta that is repaired only by a digest.
TEST(DirectoryTest, GapIsPulledAgain) {
  Directory directory;
  DirectoryExchange at_a;
  DirectoryExchange at_b;
  AcceptAnnouncement(directory, Server("1"), kA, kStart);
  TakeDelta(directory, at_a, {kB, true});
  const auto pull = OnChangeSpan(at_b, kA, 1, SentCount(at_a, kB), 1);
  ASSERT_TRUE(pull);
  OnPull(directory, at_a, kB, *pull);
  const auto again = TakeDelta(directory, at_a, {kB, true});
  ASSERT_TRUE(again);
  EXPECT_FALSE(OnChangeSpan(at_b, kA, 1, again->from, again->to));
}

// Guards against asymmetric peer lists, and against nodes that a relayed change
// does not reach within ten hops.
TEST(DirectoryTest, ExchangePeersAreSymmetricAndNear) {
  for (size_t n : {1, 2, 3, 4, 16, 17, 32, 100, 2300}) {
    std::set<NodeId> nodes;
    for (size_t i = 0; i < n; ++i) {
      nodes.insert({std::to_string(i)});
    }
    std::set<std::pair<NodeId, NodeId>> links;
    std::map<NodeId, std::vector<NodeId>> relays;
    for (const NodeId& node : nodes) {
      const auto peers = ExchangePeers(nodes, node);
      EXPECT_LE(peers.size(), kFullMeshNodes - 1);
      for (const ExchangePeer& peer : peers) {
        ASSERT_TRUE(links.insert({node, peer.node}).second);
        if (peer.relay) {
          relays[node].push_back(peer.node);
        }
      }
    }
    for (const auto& [from, to] : links) {
      ASSERT_TRUE(links.contains({to, from}));
    }
    std::set<NodeId> reached{*nodes.begin()};
    for (int steps = 0; reached.size() < n; ++steps) {
      ASSERT_LT(steps, 10);
      for (const NodeId& node : std::set<NodeId>(reached)) {
        reached.insert(relays[node].begin(), relays[node].end());
      }
    }
  }
}

TEST(DirectoryTest, MessagesKeepEveryField) {
  ServerRecord record = Server("1", ServerState::kDraining, 7);
  record.labels = {{"tier", "one"}};
  record.sequence = 3;
  record.slots = 4;
  record.connection_limit = 30;
  record.owner = kB;
  record.owner_epoch = 6;
  EXPECT_EQ(proto::FromMessage(proto::ToMessage(record)), record);
  DirectoryPull pull{5, {1, 4095}, {{{"1"}, 99}}, true};
  EXPECT_EQ(proto::FromMessage(proto::ToMessage(pull)), pull);
  DirectoryDigest digest{1, std::vector<uint64_t>(kDigestGroups, 2), {}};
  digest.leaves[63] = std::vector<uint64_t>(kLeavesPerGroup, 3);
  EXPECT_EQ(proto::FromMessage(proto::ToMessage(digest)), digest);
}

}  // namespace
}  // namespace gooseberryrock::directory
