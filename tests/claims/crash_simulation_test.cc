// Resends of a query that crashes every server, over several nodes, with
// innocent queries beside it. In virtual time with fixed seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryrock/claims/crash_suspects.h"

namespace gooseberryrock::claims {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint kKiller = 1;
constexpr size_t kServers = 60;

struct Attempt {
  size_t node = 0;
  Fingerprint fingerprint = 0;
  bool alone = false;
};

class CrashSimulation {
 public:
  CrashSimulation(size_t node_count, uint64_t seed)
      : rng(seed),
        nodes_(node_count),
        servers_(kServers),
        generation_(kServers) {}

  // Resends the killer `resends` times, each after the answer to the last.
  void Run(int resends) {
    At(milliseconds(1), [this, resends] { SendKiller(resends); });
    At({}, [this] { SendInnocent(); });
    const SteadyTime end = now_ + seconds(resends);
    while (!events_.empty() && now_ < end) {
      auto it = events_.begin();
      now_ = it->first;
      const auto action = std::move(it->second);
      events_.erase(it);
      action();
    }
  }

  std::mt19937_64 rng;
  // Nodes in group 0 and 1 reach each other only within their group.
  bool partitioned = false;
  int killer_crashes = 0;
  int innocent_runs = 0;
  int innocent_refusals = 0;

 private:
  void At(Duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }

  Duration Random(int64_t from_us, int64_t to_us) {
    return microseconds(
        std::uniform_int_distribution<int64_t>(from_us, to_us)(rng));
  }

  void SendKiller(int resends) {
    const size_t node = rng() % nodes_.size();
    const auto decision = Check(node, kKiller);
    if (decision == FingerprintDecision::kRun) {
      Start(node, kKiller, false);
      // A hedge may run before the first crash is known.
      if (rng() % 2 == 0) {
        At(Random(0, 3000), [this, node] {
          if (Check(node, kKiller) == FingerprintDecision::kRun) {
            Start(node, kKiller, false);
          }
        });
      }
    } else if (decision == FingerprintDecision::kRunAlone) {
      Start(node, kKiller, true);
    }
    if (resends > 1) {
      // The attempts end within 10 ms; the caller is at least 1 ms away.
      At(milliseconds(20) + Random(2000, 50000),
         [this, resends] { SendKiller(resends - 1); });
    }
  }

  void SendInnocent() {
    const size_t node = rng() % nodes_.size();
    const Fingerprint fingerprint = 100 + rng() % 50;
    const auto decision = Check(node, fingerprint);
    innocent_refusals += decision == FingerprintDecision::kRefuse ? 1 : 0;
    ++innocent_runs;
    if (decision == FingerprintDecision::kRun ||
        decision == FingerprintDecision::kRunAlone) {
      Start(node, fingerprint, decision == FingerprintDecision::kRunAlone);
    }
    At(Random(100, 2000), [this] { SendInnocent(); });
  }

  FingerprintDecision Check(size_t node, Fingerprint fingerprint) {
    return CheckFingerprint(nodes_[node], fingerprint, now_);
  }

  void Start(size_t node, Fingerprint fingerprint, bool alone) {
    if (alone) {
      StartAlone(nodes_[node], fingerprint, Id(node), now_);
      Tell(node, DescribeSuspicion(nodes_[node], fingerprint, now_));
    }
    const size_t server = rng() % kServers;
    const uint64_t id = ++last_attempt_;
    servers_[server][id] = {node, fingerprint, alone};
    At(Random(500, 10000), [this, server, id] {
      auto it = servers_[server].find(id);
      if (it == servers_[server].end()) {
        return;
      }
      const Attempt attempt = it->second;
      if (attempt.fingerprint == kKiller) {
        Crash(server);
        return;
      }
      servers_[server].erase(it);
      if (attempt.alone) {
        auto cleared = RecordSuccess(nodes_[attempt.node], attempt.fingerprint);
        Tell(attempt.node,
             {attempt.fingerprint, std::move(cleared), true, {}, {}});
      }
    });
  }

  void Crash(size_t server) {
    ++killer_crashes;
    const CrashedServer crashed{{std::to_string(server)},
                                ++generation_[server]};
    std::map<size_t, std::set<Fingerprint>> by_node;
    for (const auto& [id, attempt] : servers_[server]) {
      by_node[attempt.node].insert(attempt.fingerprint);
    }
    servers_[server].clear();
    for (const auto& [node, fingerprints] : by_node) {
      for (Fingerprint fingerprint : fingerprints) {
        RecordCrash(nodes_[node], fingerprint, crashed,
                    {fingerprints.size() > 1, false}, now_);
        Tell(node, DescribeSuspicion(nodes_[node], fingerprint, now_));
      }
    }
  }

  void Tell(size_t from, const Suspicion& suspicion) {
    for (size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from && (!partitioned || to % 2 == from % 2)) {
        At(Random(100, 1500), [this, from, to, suspicion] {
          MergeSuspicion(nodes_[to], suspicion, Id(from), now_);
        });
      }
    }
  }

  static NodeId Id(size_t node) { return {std::to_string(node)}; }

  SteadyTime now_{std::chrono::hours(1)};
  uint64_t last_attempt_ = 0;
  std::vector<CrashSuspects> nodes_;
  std::vector<std::map<uint64_t, Attempt>> servers_;
  std::vector<uint64_t> generation_;
  std::multimap<SteadyTime, std::function<void()>> events_;
};

// Guards against a query that takes down the servers one after the other, and
// against refusing the queries beside it.
TEST(CrashSimulationTest, KillerReachesAtMostThreeServers) {
  constexpr uint64_t kRuns = 300;
  std::map<int, int> runs_by_crashes;
  int64_t innocent_runs = 0;
  int64_t innocent_refusals = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    CrashSimulation simulation(1 + seed % 9, seed);
    simulation.Run(100);
    ASSERT_LE(simulation.killer_crashes, 3) << "seed " << seed;
    ++runs_by_crashes[simulation.killer_crashes];
    innocent_runs += simulation.innocent_runs;
    innocent_refusals += simulation.innocent_refusals;
  }
  EXPECT_LE(innocent_refusals, innocent_runs / 10000);
  for (const auto& [crashes, runs] : runs_by_crashes) {
    std::printf("crashes=%d runs=%d\n", crashes, runs);
  }
  std::printf("innocent_runs=%lld innocent_refusals=%lld\n",
              static_cast<long long>(innocent_runs),
              static_cast<long long>(innocent_refusals));
}

// States what holds for two groups of nodes without contact: the bound of
// each.
TEST(CrashSimulationTest, BoundHoldsForEachSideOfAPartition) {
  int most = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CrashSimulation simulation(6, seed);
    simulation.partitioned = true;
    simulation.Run(100);
    ASSERT_LE(simulation.killer_crashes, 6) << "seed " << seed;
    most = std::max(most, simulation.killer_crashes);
  }
  std::printf("partitioned_runs=100 most_crashes=%d\n", most);
}

}  // namespace
}  // namespace gooseberryrock::claims
