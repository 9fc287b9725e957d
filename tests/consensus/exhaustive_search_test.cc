// Bounded model checking: explores all orders of a few events among three VMs.

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/consensus/consensus.h"

namespace gooseberryrock::consensus {
namespace {

constexpr int kVms = 3;

// Time is constant. Elections are started by TimeoutNow, which bypasses the
// pre-vote and all timers, so the search covers replication and votes only.
constexpr SteadyTime kNow = SteadyTime(std::chrono::hours(1));

struct ClusterState {
  std::vector<ConsensusState> vms;
  std::set<Message> in_flight;
  std::map<uint64_t, LogEntry> committed;
  std::map<uint64_t, NodeId> leader_of_term;
  int elections_left = 0;
  int proposals_left = 0;
  int crashes_left = 0;
  std::string violation;
};

NodeId Id(int i) {
  return {std::string(1, static_cast<char>('a' + i))};
}

void AppendTo(std::string& text, const Message& message) {
  text += message.from.value + message.to.value + std::to_string(message.term) +
          "/" + std::to_string(message.body.index());
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, AppendRequest>) {
          text += std::to_string(body.previous.term) + "," +
                  std::to_string(body.previous.index) + "," +
                  std::to_string(body.commit_index);
          for (const LogEntry& entry : body.entries) {
            text += "+" + std::to_string(entry.position.term) + entry.payload;
          }
        } else if constexpr (std::is_same_v<Body, AppendReply>) {
          text += std::to_string(body.accepted) + std::to_string(body.index);
        } else if constexpr (std::is_same_v<Body, VoteReply>) {
          text += std::to_string(body.granted);
        }
      },
      message.body);
  text += ";";
}

// Hash that is equal for states with equivalent behaviour. Omits rounds and
// acknowledgements, which only matter for the lease and for damaged disks.
uint64_t Fingerprint(const ClusterState& cluster) {
  std::string text = std::to_string(cluster.elections_left) +
                     std::to_string(cluster.proposals_left) +
                     std::to_string(cluster.crashes_left);
  for (const ConsensusState& vm : cluster.vms) {
    text += "|" + std::to_string(static_cast<int>(vm.role)) +
            std::to_string(vm.hard_state.term) + vm.hard_state.voted_for.value +
            std::to_string(vm.commit_index) + vm.leader.value;
    for (const LogEntry& entry : vm.entries) {
      text += "+" + std::to_string(entry.position.term) + entry.payload;
    }
    for (const auto& [node, progress] : vm.progress) {
      text += node.value + std::to_string(progress.match) +
              std::to_string(progress.next) + std::to_string(progress.probing) +
              std::to_string(progress.in_flight.size());
    }
    for (const auto& [node, storage] : vm.votes) {
      text += node.value;
    }
  }
  for (const Message& message : cluster.in_flight) {
    AppendTo(text, message);
  }
  return Hash64(text);
}

void ExecuteEffects(ClusterState& cluster, int i, Effects effects) {
  ConsensusState& vm = cluster.vms[static_cast<size_t>(i)];
  while (true) {
    for (auto* messages : {&effects.send_at_once, &effects.send_after_sync}) {
      cluster.in_flight.insert(messages->begin(), messages->end());
    }
    for (const LogEntry& entry : effects.committed) {
      auto [it, is_new] =
          cluster.committed.emplace(entry.position.index, entry);
      if (!is_new && it->second != entry) {
        cluster.violation = "committed entry changed";
      }
    }
    if (vm.role == Role::kLeader) {
      auto [it, is_new] =
          cluster.leader_of_term.emplace(vm.hard_state.term, vm.self);
      if (it->second != vm.self) {
        cluster.violation = "two leaders in one term";
      }
    }
    if (!effects.sync) {
      return;
    }
    effects = OnPersisted(vm, *effects.sync, kNow);
  }
}

std::mt19937_64& SharedRandom() {
  static std::mt19937_64 random(1);
  return random;
}

ConsensusState StartVm(int i, StoredState stored) {
  ConsensusConfig config;
  config.max_append_entries = 1;
  ConsensusState vm =
      StartConsensus(Id(i), "disk-" + Id(i).value, std::move(stored), config,
                     kNow, SharedRandom());
  vm.votes_refused_until = kNow;
  return vm;
}

// Returns all states reachable by one event.
std::vector<ClusterState> Successors(const ClusterState& cluster) {
  std::vector<ClusterState> next;
  for (const Message& message : cluster.in_flight) {
    ClusterState& it = next.emplace_back(cluster);
    it.in_flight.erase(message);
    const int to = message.to.value[0] - 'a';
    ExecuteEffects(it, to,
                   HandleMessage(it.vms[static_cast<size_t>(to)], message, kNow,
                                 SharedRandom()));
  }
  for (int i = 0; i < kVms; ++i) {
    const ConsensusState& vm = cluster.vms[static_cast<size_t>(i)];
    if (cluster.elections_left > 0 && vm.role != Role::kLeader) {
      ClusterState& it = next.emplace_back(cluster);
      --it.elections_left;
      Message message;
      message.from = message.to = Id(i);
      message.term = vm.hard_state.term;
      message.body = TimeoutNow{};
      ExecuteEffects(it, i,
                     HandleMessage(it.vms[static_cast<size_t>(i)], message,
                                   kNow, SharedRandom()));
    }
    if (cluster.proposals_left > 0 && vm.role == Role::kLeader) {
      ClusterState& it = next.emplace_back(cluster);
      const auto id = static_cast<ProposalId>(it.proposals_left--);
      ExecuteEffects(it, i,
                     Propose(it.vms[static_cast<size_t>(i)],
                             {{id, "p" + std::to_string(id)}}, kNow));
    }
    if (cluster.crashes_left > 0) {
      ClusterState& it = next.emplace_back(cluster);
      --it.crashes_left;
      StoredState stored;
      stored.hard_state = vm.hard_state;
      stored.snapshot = vm.snapshot;
      stored.entries = {vm.entries.begin(), vm.entries.end()};
      it.vms[static_cast<size_t>(i)] = StartVm(i, std::move(stored));
    }
  }
  return next;
}

struct Search {
  // Largest remaining depth at which each state was expanded, by fingerprint.
  std::unordered_map<uint64_t, int> seen;
  uint64_t transitions = 0;
  std::string violation;
};

void Explore(Search& search, const ClusterState& cluster, int depth) {
  if (depth == 0 || !search.violation.empty()) {
    return;
  }
  for (const ClusterState& next : Successors(cluster)) {
    ++search.transitions;
    if (!next.violation.empty()) {
      search.violation = next.violation;
      return;
    }
    int& seen_depth = search.seen[Fingerprint(next)];
    if (seen_depth < depth) {
      seen_depth = depth;
      Explore(search, next, depth - 1);
    }
  }
}

// Each log is given as the terms of its entries, one digit per entry.
ClusterState MakeCluster(const std::vector<std::string>& logs) {
  ClusterState cluster;
  Membership membership;
  for (int i = 0; i < kVms; ++i) {
    membership.members[Id(i)] = {"disk-" + Id(i).value, "", true};
  }
  for (int i = 0; i < kVms; ++i) {
    StoredState stored;
    stored.snapshot.membership = membership;
    for (char term : logs[static_cast<size_t>(i)]) {
      LogEntry entry;
      entry.position = {static_cast<uint64_t>(term - '0'),
                        stored.entries.size() + 1};
      stored.entries.push_back(entry);
      stored.hard_state.term = entry.position.term;
    }
    cluster.vms.push_back(StartVm(i, std::move(stored)));
  }
  return cluster;
}

std::string RunSearch(const std::string& name,
                      const ClusterState& cluster,
                      int depth) {
  Search search;
  Explore(search, cluster, depth);
  std::cout << name << ": depth " << depth << ", " << search.seen.size()
            << " states, " << search.transitions << " transitions"
            << (search.violation.empty() ? "" : ", found: ") << search.violation
            << "\n";
  return search.violation;
}

// Two concurrent proposals with leader changes and a VM restart.
[[maybe_unused]] std::string SearchProposals() {
  ClusterState cluster = MakeCluster({"1", "1", "1"});
  cluster.elections_left = 2;
  cluster.proposals_left = 2;
  cluster.crashes_left = 1;
  return RunSearch("two proposals", cluster, 11);
}

// An entry of term 2 on a majority that a VM with an entry of term 3 may still
// replace.
std::string SearchEarlierTerm() {
  ClusterState cluster = MakeCluster({"12", "1", "13"});
  cluster.elections_left = 2;
  return RunSearch("entry of an earlier term", cluster, 14);
}

#ifdef GOOSEBERRYROCK_MUTANT_FAULTS

// Guards against a search that does not detect a missing safety mechanism.
TEST(ExhaustiveSearchTest, FindsMissingMechanism) {
  EXPECT_NE(SearchEarlierTerm(), "");
}

#else

// Guards against event orders that lose or change a committed entry.
TEST(ExhaustiveSearchTest, FindsNoCounterexample) {
  EXPECT_EQ(SearchProposals(), "");
  EXPECT_EQ(SearchEarlierTerm(), "");
}

#endif

}  // namespace
}  // namespace gooseberryrock::consensus
