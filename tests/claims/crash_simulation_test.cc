// Virtual-time simulation of resends of a query that crashes every server, over
// several nodes, next to harmless queries. Uses fixed seeds.

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

constexpr Fingerprint kCrashingQuery = 1;
constexpr size_t kServers = 60;

struct Attempt {
  size_t node = 0;
  Fingerprint fingerprint = 0;
  bool exclusive = false;
};

class CrashSimulation {
 public:
  CrashSimulation(size_t node_count, uint64_t seed)
      : rng(seed),
        nodes_(node_count),
        servers_(kServers),
        generation_(kServers) {}

  // Resends the crashing query `resends` times, each after the previous answer.
  void Run(int resends) {
    At(milliseconds(1), [this, resends] { SendCrashingQuery(resends); });
    At({}, [this] { SendHarmlessQuery(); });
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
  // Splits the nodes into two groups (even and odd index) that cannot reach
  // each other.
  bool partitioned = false;
  int server_crashes = 0;
  int harmless_runs = 0;
  int harmless_refusals = 0;

 private:
  void At(Duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }

  Duration Random(int64_t from_us, int64_t to_us) {
    return microseconds(
        std::uniform_int_distribution<int64_t>(from_us, to_us)(rng));
  }

  void SendCrashingQuery(int resends) {
    const size_t node = rng() % nodes_.size();
    const auto decision = Check(node, kCrashingQuery);
    if (decision == FingerprintDecision::kRun) {
      Start(node, kCrashingQuery, false);
      // A hedge may run before the first crash is known.
      if (rng() % 2 == 0) {
        At(Random(0, 3000), [this, node] {
          if (Check(node, kCrashingQuery) == FingerprintDecision::kRun) {
            Start(node, kCrashingQuery, false);
          }
        });
      }
    } else if (decision == FingerprintDecision::kRunExclusive) {
      Start(node, kCrashingQuery, true);
    }
    if (resends > 1) {
      // Attempts end within 10 ms; the caller is at least 1 ms away.
      At(milliseconds(20) + Random(2000, 50000),
         [this, resends] { SendCrashingQuery(resends - 1); });
    }
  }

  void SendHarmlessQuery() {
    const size_t node = rng() % nodes_.size();
    const Fingerprint fingerprint = 100 + rng() % 50;
    const auto decision = Check(node, fingerprint);
    harmless_refusals += decision == FingerprintDecision::kRefuse ? 1 : 0;
    ++harmless_runs;
    if (decision == FingerprintDecision::kRun ||
        decision == FingerprintDecision::kRunExclusive) {
      Start(node, fingerprint, decision == FingerprintDecision::kRunExclusive);
    }
    At(Random(100, 2000), [this] { SendHarmlessQuery(); });
  }

  FingerprintDecision Check(size_t node, Fingerprint fingerprint) {
    return CheckFingerprint(nodes_[node], fingerprint, now_);
  }

  void Start(size_t node, Fingerprint fingerprint, bool exclusive) {
    if (exclusive) {
      StartExclusiveRun(nodes_[node], fingerprint, Id(node), now_);
      Broadcast(node, MakeCrashSuspicion(nodes_[node], fingerprint, now_));
    }
    const size_t server = rng() % kServers;
    const uint64_t id = ++last_attempt_;
    servers_[server][id] = {node, fingerprint, exclusive};
    At(Random(500, 10000), [this, server, id] {
      auto it = servers_[server].find(id);
      if (it == servers_[server].end()) {
        return;
      }
      const Attempt attempt = it->second;
      if (attempt.fingerprint == kCrashingQuery) {
        Crash(server);
        return;
      }
      servers_[server].erase(it);
      if (attempt.exclusive) {
        auto cleared = RecordSuccess(nodes_[attempt.node], attempt.fingerprint);
        Broadcast(attempt.node,
                  {attempt.fingerprint, std::move(cleared), true, {}, {}});
      }
    });
  }

  void Crash(size_t server) {
    ++server_crashes;
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
        Broadcast(node, MakeCrashSuspicion(nodes_[node], fingerprint, now_));
      }
    }
  }

  void Broadcast(size_t from, const CrashSuspicion& suspicion) {
    for (size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from && (!partitioned || to % 2 == from % 2)) {
        At(Random(100, 1500), [this, from, to, suspicion] {
          MergeCrashSuspicion(nodes_[to], suspicion, Id(from), now_);
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

// Guards against a query that crashes one server after another, and against
// refusing other queries on the same servers.
TEST(CrashSimulationTest, CrashingQueryReachesAtMostThreeServers) {
  constexpr uint64_t kRuns = 300;
  std::map<int, int> runs_by_crashes;
  int64_t harmless_runs = 0;
  int64_t harmless_refusals = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    CrashSimulation simulation(1 + seed % 9, seed);
    simulation.Run(100);
    ASSERT_LE(simulation.server_crashes, 3) << "seed " << seed;
    ++runs_by_crashes[simulation.server_crashes];
    harmless_runs += simulation.harmless_runs;
    harmless_refusals += simulation.harmless_refusals;
  }
  EXPECT_LE(harmless_refusals, harmless_runs / 10000);
  for (const auto& [crashes, runs] : runs_by_crashes) {
    std::printf("crashes=%d runs=%d\n", crashes, runs);
  }
  std::printf("harmless_runs=%lld harmless_refusals=%lld\n",
              static_cast<long long>(harmless_runs),
              static_cast<long long>(harmless_refusals));
}

// Checks that in a partition the bound holds for each side.
TEST(CrashSimulationTest, BoundHoldsForEachSideOfAPartition) {
  int most = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CrashSimulation simulation(6, seed);
    simulation.partitioned = true;
    simulation.Run(100);
    ASSERT_LE(simulation.server_crashes, 6) << "seed " << seed;
    most = std::max(most, simulation.server_crashes);
  }
  std::printf("partitioned_runs=100 most_crashes=%d\n", most);
}

}  // namespace
}  // namespace gooseberryrock::claims
