// Tests which entry nodes gather for others, and the hop to them.

#include "gooseberryrock/relay/gather_nodes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/relay/gather.h"

#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

const FailureDomain kA = {"a"};
const FailureDomain kB = {"b"};
const FailureDomain kC = {"c"};

std::vector<NodeId> Nodes(const std::string& domain, int n) {
  std::vector<NodeId> nodes;
  nodes.reserve(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) {
    nodes.push_back({domain + std::to_string(i)});
  }
  return nodes;
}

GatherInputs LargeFleet() {
  GatherInputs inputs;
  inputs.nodes = {
      {kA, Nodes("a", 43)}, {kB, Nodes("b", 39)}, {kC, Nodes("c", 41)}};
  inputs.servers = {{kA, 42}, {kB, 42}};
  inputs.connection_limit = 125;
  return inputs;
}

size_t CountAll(const NodesByDomain& nodes) {
  size_t n = 0;
  for (const auto& [domain, members] : nodes) {
    n += members.size();
  }
  return n;
}

// Guards against a hop in deployments where each node has connections enough.
TEST(GatherNodesTest, FewNodesGatherForThemselves) {
  GatherInputs inputs;
  inputs.nodes = {
      {kA, Nodes("a", 3)}, {kB, Nodes("b", 3)}, {kC, Nodes("c", 3)}};
  inputs.servers = {{kA, 10}, {kB, 10}, {kC, 10}};
  inputs.connection_limit = 30;
  EXPECT_TRUE(ChooseGatherNodes(inputs).empty());
}

// Guards against more gathering nodes than the servers have connections for,
// and against nodes far from the servers.
TEST(GatherNodesTest, NodesBesideTheServersGather) {
  const NodesByDomain chosen = ChooseGatherNodes(LargeFleet());
  EXPECT_EQ(chosen.size(), 2U);
  EXPECT_TRUE(chosen.contains(kA));
  EXPECT_TRUE(chosen.contains(kB));
  EXPECT_GE(125 / CountAll(chosen), 2U);
}

// Guards against a single node for a failure domain, whose loss would end the
// service there.
TEST(GatherNodesTest, EachDomainHasAnotherNode) {
  GatherInputs inputs = LargeFleet();
  inputs.connection_limit = 4;
  for (const auto& [domain, nodes] : ChooseGatherNodes(inputs)) {
    EXPECT_GE(nodes.size(), 2U);
  }
}

// Guards against moving most requests and connections when one node is lost.
TEST(GatherNodesTest, LossOfANodeChangesOneChoice) {
  GatherInputs inputs = LargeFleet();
  const NodesByDomain before = ChooseGatherNodes(inputs);
  auto& nodes = inputs.nodes[kA];
  nodes.erase(std::find(nodes.begin(), nodes.end(), before.at(kA).front()));
  const NodesByDomain after = ChooseGatherNodes(inputs);
  size_t kept = 0;
  for (const NodeId& it : after.at(kA)) {
    kept += static_cast<size_t>(
        std::count(before.at(kA).begin(), before.at(kA).end(), it));
  }
  EXPECT_EQ(kept + 1, before.at(kA).size());
  EXPECT_EQ(after.at(kB), before.at(kB));
}

// Guards against choosing nodes in a failure domain that holds a few
// replacements, which would move connections back and forth.
TEST(GatherNodesTest, DomainWithFewServersIsLeftOut) {
  GatherInputs inputs = LargeFleet();
  inputs.servers[kC] = 3;
  EXPECT_FALSE(ChooseGatherNodes(inputs).contains(kC));
}

// Guards against choosing nodes while no server or no node is known.
TEST(GatherNodesTest, NothingIsKnownAtTheStart) {
  EXPECT_TRUE(ChooseGatherNodes({}).empty());
  GatherInputs inputs = LargeFleet();
  inputs.nodes.clear();
  EXPECT_TRUE(ChooseGatherNodes(inputs).empty());
}

// Guards against replies of servers that cross failure domains although another
// node is beside the servers.
TEST(GroupShardsTest, ShardsAreGatheredBesideTheirServers) {
  const std::vector<std::set<FailureDomain>> places = {
      {kA, kB}, {kB, kC}, {kA}, {kB}, {kC, kB}, {kA, kC}, {kB}};
  const auto groups = GroupShards(places, {kA, kB, kC});
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0], (ShardGroup{kA, {0, 2, 5}}));
  EXPECT_EQ(groups[1], (ShardGroup{kB, {1, 3, 4, 6}}));
}

// Guards against a shard that no group contains, and against messages for a
// shard or two.
TEST(GroupShardsTest, EveryShardIsInOneGroup) {
  const std::vector<std::set<FailureDomain>> places = {{kA}, {kA}, {kB},
                                                       {},   {kA}, {kC}};
  const auto groups = GroupShards(places, {kA, kB, kC});
  ASSERT_EQ(groups.size(), 1U);
  EXPECT_EQ(groups[0], (ShardGroup{kA, {0, 1, 2, 3, 4, 5}}));
}

// Guards against an empty group when the own failure domain has no servers.
TEST(GroupShardsTest, DomainWithoutServersHasNoGroup) {
  const auto groups = GroupShards({{kB}, {kB}, {kB}}, {kA, kB});
  ASSERT_EQ(groups.size(), 1U);
  EXPECT_EQ(groups[0], (ShardGroup{kB, {0, 1, 2}}));
  EXPECT_TRUE(GroupShards({{kB}}, {}).empty());
}

// A request for ten shards on its way to gathering nodes: three nodes in each
// of two failure domains, with six and four shards.
struct ForwardFixture {
  ForwardFixture() : route(ShardedRoute()) {
    pool = MakeForwardPool();
    pool.servers = PoolOf("node", 6).servers;
    for (size_t i = 0; i < pool.servers.size(); ++i) {
      pool.servers[i].domain = i < 3 ? kA : kB;
    }
    const std::vector<ShardGroup> groups = {{kA, {0, 1, 2, 3, 4, 5}},
                                            {kB, {6, 7, 8, 9}}};
    state = MakeForward(route, groups, pool, policy, kStart, kStart + Ms(1000));
  }

  RelayContext Context() { return {policy, random}; }
  RequestEffects Start() {
    auto effects = StartRequest(state, Context(), kStart);
    Send(effects, kStart);
    return effects;
  }
  void Send(const RequestEffects& effects, SteadyTime now) {
    for (const AttemptToSend& it : effects.send) {
      OnAttemptSent(state, it.number, Context(), now);
    }
  }
  void Acknowledge(const RequestEffects& effects) {
    for (const AttemptToSend& it : effects.send) {
      OnAttemptAcknowledged(state, it.number, Context(), kStart + Ms(2));
    }
  }
  FailureDomain DomainOf(const BackendServerId& id) {
    return FindServer(pool, id)->domain;
  }

  RelayPolicy policy;
  std::mt19937_64 random{1};
  routes::Route route;
  ServicePool pool;
  RequestState state;
};

// The reply of a gathering node with `n` shards that have the record `byte`.
ServerReply Gathered(size_t n, char byte) {
  ServerReply reply;
  reply.kind = ReplyKind::kSuccess;
  for (size_t i = 0; i < n; ++i) {
    reply.digests.push_back(std::string(1, byte) + std::to_string(i));
  }
  reply.body = std::string(kRecordBytes, byte);
  return reply;
}

// Guards against parts that are counted instead of shards, and against groups
// that are gathered far from their servers.
TEST(ForwardTest, AnswersOfTheGroupsAreMerged) {
  ForwardFixture it;
  const auto start = it.Start();
  ASSERT_EQ(start.send.size(), 2U);
  EXPECT_EQ(it.DomainOf(start.send[0].server), kA);
  EXPECT_EQ(it.DomainOf(start.send[1].server), kB);
  const auto first =
      OnAttemptReply(it.state, start.send[0].number, Gathered(6, 'a'),
                     it.Context(), kStart + Ms(30));
  EXPECT_FALSE(first.outcome);
  const auto end =
      OnAttemptReply(it.state, start.send[1].number, Gathered(3, 'b'),
                     it.Context(), kStart + Ms(40));
  ASSERT_TRUE(end.outcome);
  const auto& answer = std::get<GatheredOutcome>(*end.outcome);
  EXPECT_EQ(answer.digests.size(), 9U);
  EXPECT_EQ(answer.missing_shards, 1U);
  EXPECT_EQ(answer.body,
            std::string(kRecordBytes, 'b') + std::string(kRecordBytes, 'a'));
}

// Guards against an answer after the target although enough shards have
// answered: each node reports its progress shortly before.
TEST(ForwardTest, ProgressIsEnoughForAPartialAnswer) {
  ForwardFixture it;
  const auto start = it.Start();
  OnAttemptReply(it.state, start.send[0].number, Gathered(6, 'a'), it.Context(),
                 kStart + Ms(30));
  const auto progress =
      OnAttemptProgress(it.state, start.send[1].number, Gathered(3, 'b'),
                        it.Context(), kStart + Ms(80));
  EXPECT_FALSE(progress.outcome);
  const auto end = OnRequestTimer(it.state, it.Context(), kStart + Ms(87));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).missing_shards, 1U);
}

// Guards against failing a request that lacks too many shards at the target: it
// is answered later.
TEST(ForwardTest, TooLittleProgressWaitsForTheRest) {
  ForwardFixture it;
  const auto start = it.Start();
  it.Acknowledge(start);
  OnAttemptReply(it.state, start.send[0].number, Gathered(6, 'a'), it.Context(),
                 kStart + Ms(30));
  OnAttemptProgress(it.state, start.send[1].number, Gathered(2, 'b'),
                    it.Context(), kStart + Ms(80));
  EXPECT_FALSE(OnRequestTimer(it.state, it.Context(), kStart + Ms(87)).outcome);
  const auto end =
      OnAttemptReply(it.state, start.send[1].number, Gathered(4, 'b'),
                     it.Context(), kStart + Ms(200));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).missing_shards, 0U);
}

// Guards against waiting for a frozen node until the deadline of the caller.
TEST(ForwardTest, SilentNodeIsReplaced) {
  ForwardFixture it;
  const auto start = it.Start();
  OnAttemptAcknowledged(it.state, start.send[0].number, it.Context(),
                        kStart + Ms(2));
  const auto moved = OnRequestTimer(it.state, it.Context(), kStart + Ms(51));
  ASSERT_EQ(moved.drop.size(), 1U);
  EXPECT_EQ(moved.drop[0].number, start.send[1].number);
  EXPECT_TRUE(moved.drop[0].close);
  EXPECT_TRUE(moved.drop[0].unacknowledged);
  ASSERT_EQ(moved.send.size(), 1U);
  EXPECT_NE(moved.send[0].server, start.send[1].server);
  EXPECT_EQ(PartOf(it.state, moved.send[0].number).unacknowledged, 1U);
}

// Guards against failing a request on a connection of which the end is not
// known yet, and against trying the next node of a failure domain that is cut
// off.
TEST(ForwardTest, LostConnectionMovesTheGroupToAnotherDomain) {
  ForwardFixture it;
  for (PoolServer& server : it.pool.servers) {
    server.same_domain = server.domain == kA;
  }
  const auto start = it.Start();
  const auto moved = OnAttemptFailed(it.state, start.send[1].number,
                                     it.Context(), kStart + Ms(1));
  ASSERT_EQ(moved.send.size(), 1U);
  EXPECT_EQ(it.DomainOf(moved.send[0].server), kA);
  it.Send(moved, kStart + Ms(1));
  const auto again = OnAttemptFailed(it.state, moved.send[0].number,
                                     it.Context(), kStart + Ms(2));
  EXPECT_TRUE(again.send.empty());
  EXPECT_TRUE(again.outcome);
}

// Guards against more attempts at the servers than the route allows: a silent
// node may have received the request, and there are two attempts.
TEST(ForwardTest, SecondSilentNodeEndsTheRequest) {
  ForwardFixture it;
  const auto start = it.Start();
  OnAttemptAcknowledged(it.state, start.send[0].number, it.Context(),
                        kStart + Ms(2));
  const auto moved = OnRequestTimer(it.state, it.Context(), kStart + Ms(51));
  it.Send(moved, kStart + Ms(51));
  const auto end = OnRequestTimer(it.state, it.Context(), kStart + Ms(102));
  ASSERT_TRUE(end.outcome);
  EXPECT_TRUE(std::holds_alternative<FailedOutcome>(*end.outcome));
}

// Guards against gathering twice, which would send the servers of each shard
// more attempts than the route allows.
TEST(ForwardTest, AcknowledgedRequestIsNotPassedOnAgain) {
  ForwardFixture it;
  const auto start = it.Start();
  it.Acknowledge(start);
  for (int ms = 10; ms < 980; ms += 10) {
    const auto later = OnRequestTimer(it.state, it.Context(), kStart + Ms(ms));
    EXPECT_TRUE(later.send.empty());
    EXPECT_TRUE(later.drop.empty());
  }
  const auto lost = OnAttemptFailed(it.state, start.send[0].number,
                                    it.Context(), kStart + Ms(980));
  EXPECT_TRUE(lost.send.empty());
  ASSERT_TRUE(lost.outcome);
  EXPECT_TRUE(std::holds_alternative<FailedOutcome>(*lost.outcome));
}

// Guards against an error for a request that no node has taken: the node itself
// can still gather.
TEST(ForwardTest, RequestThatNoNodeTakesIsRefusedAsNotRun) {
  ForwardFixture it;
  auto effects = it.Start();
  std::vector<AttemptNumber> open = {effects.send[0].number,
                                     effects.send[1].number};
  while (!open.empty() && !effects.outcome) {
    effects = OnAttemptReply(it.state, open.back(), ReplyOf(ReplyKind::kNotRun),
                             it.Context(), kStart + Ms(2));
    open.pop_back();
    it.Send(effects, kStart + Ms(2));
    for (const AttemptToSend& sent : effects.send) {
      open.push_back(sent.number);
    }
  }
  ASSERT_TRUE(effects.outcome);
  EXPECT_TRUE(std::holds_alternative<RefusedOutcome>(*effects.outcome));
}

// Guards against sending requests to a node that failed, as probes: most of
// them would be late while a failure domain is cut off.
TEST(ForwardTest, FailedNodeGetsNoRequestBeforeAConnection) {
  ForwardFixture it;
  for (size_t i = 0; i < 5; ++i) {
    it.pool.servers[i].stats.consecutive_failures = 1;
    it.pool.servers[i].stats.next_probe = kStart - Ms(1);
    it.pool.servers[i].idle_connections = i == 4 ? 1 : 0;
  }
  for (const AttemptToSend& sent : it.Start().send) {
    EXPECT_TRUE(sent.server.value == "node-4" || sent.server.value == "node-5")
        << sent.server.value;
  }
}

// Guards against an answer of a gathering node that lacks shards, while the
// node that passed the request on has not asked for it.
TEST(GatherForOtherTest, ProgressIsReportedOnce) {
  RelayFixture it(4);
  it.route = ShardedRoute();
  std::vector<ServicePool*> pools;
  for (ServicePool& pool : it.pools) {
    pools.push_back(&pool);
  }
  it.state = MakeGatherForOther(it.route, pools, it.policy, /*attempts=*/1,
                                kStart, kStart + Ms(1000));
  const auto start = StartRequest(it.state, it.Context(), kStart);
  it.Send(start);
  it.Reply(start.send[0].number, Success("d", std::string(16, 'a')));
  const auto due = OnRequestTimer(it.state, it.Context(), kStart + Ms(87));
  EXPECT_TRUE(due.report_progress);
  EXPECT_FALSE(due.outcome);
  EXPECT_TRUE(due.send.empty()) << "the first node used the other attempt";
  EXPECT_EQ(Progress(it.state).digests.size(), 1U);
  const auto later = OnRequestTimer(it.state, it.Context(), kStart + Ms(95));
  EXPECT_FALSE(later.report_progress);
  for (size_t i = 1; i < 3; ++i) {
    it.Reply(start.send[i].number, Success("d", ""), kStart + Ms(200));
  }
  const auto end =
      it.Reply(start.send[3].number, Success("d", ""), kStart + Ms(200));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).digests.size(), 4U);
}

}  // namespace
}  // namespace gooseberryrock::relay
