// Unit tests for lease, vote and membership rules, and for failover times.

#include "gooseberryrock/consensus/consensus.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "simulated_cluster.h"

namespace gooseberryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs the cluster until it has a leader and handles proposals.
SimulatedCluster& RunToSteadyState(SimulatedCluster& cluster) {
  consensus::Run(cluster, milliseconds(3500));
  return cluster;
}

Message MakeVoteRequest(const ConsensusState& to, bool pre_vote) {
  Message message;
  message.from = NodeId{to.self == NodeId{"a"} ? "b" : "a"};
  message.to = to.self;
  message.term = to.hard_state.term + 1;
  message.from_storage_id = to.membership.members.at(message.from).storage_id;
  message.to_storage_id = to.storage_id;
  VoteRequest request;
  request.pre_vote = pre_vote;
  request.last = {message.term, 1000000};
  request.acknowledged = {message.term, 1000000};
  message.body = request;
  return message;
}

bool GrantsVote(ConsensusState state, bool pre_vote, SteadyTime now) {
  std::mt19937_64 random(1);
  Effects effects =
      HandleMessage(state, MakeVoteRequest(state, pre_vote), now, random);
  for (auto* messages : {&effects.send_at_once, &effects.send_after_sync}) {
    for (const Message& message : *messages) {
      const auto* reply = std::get_if<VoteReply>(&message.body);
      if (reply != nullptr && reply->granted) {
        return true;
      }
    }
  }
  return false;
}

// Guards against stale reads: the lease must expire before a follower votes for
// another leader, even if the leader's clock is 10% slow.
TEST(ConsensusTest, LeaseEndsBeforeFollowersVote) {
  SimulatedCluster cluster(3, 1);
  const NodeId leader = *FindLeader(RunToSteadyState(cluster));
  const ConsensusState& state = cluster.vms.at(leader).state;
  SteadyTime confirmed;
  for (const auto& [node, progress] : state.progress) {
    confirmed = std::max(confirmed, *progress.confirmed);
  }
  EXPECT_TRUE(HasLease(state, confirmed + milliseconds(539)));
  EXPECT_FALSE(HasLease(state, confirmed + milliseconds(540)));
  for (const auto& [node, vm] : cluster.vms) {
    if (node != leader) {
      const SteadyTime heard = *vm.state.leader_contact_at;
      for (bool pre_vote : {false, true}) {
        EXPECT_FALSE(GrantsVote(vm.state, pre_vote, heard + milliseconds(599)));
        EXPECT_TRUE(GrantsVote(vm.state, pre_vote, heard + milliseconds(600)));
      }
    }
  }
}

// Guards against a vote after a restart that lost the time of the last leader
// contact, or after a disk rollback that lost an earlier vote.
TEST(ConsensusTest, RefusesVotesAfterStart) {
  SimulatedCluster cluster(3, 1);
  RunToSteadyState(cluster);
  std::mt19937_64 random(1);
  SimulatedVm& vm = cluster.vms.at({"c"});
  const ConsensusState state =
      StartConsensus(vm.id, vm.disk.storage_id, vm.disk.stored, cluster.config,
                     cluster.now, random);
  EXPECT_FALSE(GrantsVote(state, false, cluster.now + milliseconds(1199)));
  EXPECT_TRUE(GrantsVote(state, false, cluster.now + milliseconds(1200)));
}

// Guards against two effective memberships whose majorities do not overlap.
TEST(ConsensusTest, SecondMembershipChangeWaitsForTheFirst) {
  SimulatedCluster cluster(3, 1);
  ConsensusState state =
      cluster.vms.at(*FindLeader(RunToSteadyState(cluster))).state;
  const auto add = [&](const char* node) {
    const MembershipChange change = {
        1, MembershipAction::kAddLearner, {node}, "disk", "address"};
    const Effects effects = ChangeMembership(state, change, cluster.now);
    return effects.outcomes.empty() ? RejectReason::kNone
                                    : effects.outcomes.front().reason;
  };
  EXPECT_EQ(add("x"), RejectReason::kNone);
  EXPECT_EQ(add("y"), RejectReason::kChangeInProgress);
  const MembershipChange promote = {
      2, MembershipAction::kPromote, {"x"}, "", ""};
  state.commit_index = state.membership_index;
  EXPECT_EQ(
      ChangeMembership(state, promote, cluster.now).outcomes.front().reason,
      RejectReason::kNotCaughtUp);
}

// Returns the longest interval without an answered proposal in the next 5 s.
Duration LongestGap(SimulatedCluster& cluster) {
  const SteadyTime end = cluster.now + seconds(5);
  SteadyTime answered_at = cluster.now;
  Duration longest = {};
  while (cluster.now < end) {
    const uint64_t answered = cluster.last_answered_index;
    Run(cluster, seconds(1), 1);
    longest = std::max<Duration>(longest, cluster.now - answered_at);
    if (cluster.last_answered_index > answered) {
      answered_at = cluster.now;
    }
  }
  return longest;
}

// Guards against slow failover after a leader crash or leadership transfer.
TEST(ConsensusTest, LeaderIsReplacedInTime) {
  Duration longest_kill = {};
  Duration longest_transfer = {};
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    SimulatedCluster killed(3, seed);
    CrashVm(killed, *FindLeader(RunToSteadyState(killed)), std::nullopt);
    longest_kill = std::max(longest_kill, LongestGap(killed));
    SimulatedCluster stopped(3, seed);
    RunToSteadyState(stopped);
    Schedule(stopped, {FaultKind::kTransfer, true, {}, {}});
    longest_transfer = std::max(longest_transfer, LongestGap(stopped));
  }
  std::cout << "longest gap after a kill " << longest_kill / milliseconds(1)
            << " ms, after a transfer " << longest_transfer / milliseconds(1)
            << " ms\n";
  EXPECT_LE(longest_kill, seconds(3));
  EXPECT_LE(longest_transfer, milliseconds(500));
}

}  // namespace
}  // namespace gooseberryrock::consensus
