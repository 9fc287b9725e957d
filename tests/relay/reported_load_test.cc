// Tests routing by the slowness that servers state, in a simulation of three
// failure domains with uneven servers, against the choice by observed times in
// the same run.

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <iostream>
#include <numbers>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/hash.h"
#include "relay_simulation.h"

namespace gooseberryrock::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The persistent speed and the spells of a server: 15% of the time at 2.5 times
// as long, for 0.6 s.
double SpeedOf(size_t shard, size_t server) {
  constexpr double kSpeeds[] = {0.8, 1, 1.3};
  return kSpeeds[(shard + server) % 3];
}

double SpellOf(size_t shard, size_t server, Duration at) {
  const int64_t spell = at / milliseconds(600);
  const uint64_t hash =
      Hash64(std::to_string(spell),
             shard * 3 + server + static_cast<uint64_t>(spell) * 1000);
  return hash % 100 < 15 ? 2.5 : 1;
}

bool IsPaused(size_t shard, size_t server, Duration at) {
  const Duration offset = milliseconds(397) * static_cast<int64_t>(shard) +
                          milliseconds(1013) * static_cast<int64_t>(server);
  return (at + offset) % seconds(3) < milliseconds(120);
}

double Demand(size_t domain, Duration at) {
  const double phase = std::chrono::duration<double>(at).count() / 15 +
                       static_cast<double>(domain) / 3;
  return 1 + 0.55 * std::sin(2 * std::numbers::pi * phase);
}

// Each domain has one server of each shard and three entry nodes.
SimulationOptions Options() {
  SimulationOptions options;
  options.shards = 12;
  options.slots = 4;
  options.nodes = 9;
  options.rate = 420;
  options.length = seconds(30);
  options.cross_delay = std::chrono::microseconds(4400);
  options.demand = Demand;
  options.paused = IsPaused;
  options.slowness = [](size_t shard, size_t server, Duration at) {
    return SpeedOf(shard, server) * SpellOf(shard, server, at);
  };
  options.statement = [](size_t shard, size_t server, ServerLoad load,
                         Duration at) {
    load.slowness = SpellOf(shard, server, at);
    return std::optional(load);
  };
  return options;
}

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void Print(const std::string& name, const SimulationResult& it) {
  std::cout << name << ": wait " << Ms(it.MeanWait()) << " ms, answer p50 "
            << Ms(it.AnswerQuantile(0.5)) << " p95 "
            << Ms(it.AnswerQuantile(0.95)) << " p99 "
            << Ms(it.AnswerQuantile(0.99)) << " ms, crossed "
            << it.CrossedShare() << ", swing " << it.CrossingSwing()
            << ", value " << it.Value() << ", refused " << it.refused << " of "
            << it.requests << ", extra "
            << static_cast<double>(it.extra_attempts) /
                   static_cast<double>(it.attempts)
            << "\n";
}

SimulationResult SimulateObserved(SimulationOptions options) {
  options.policy.use_stated_slowness = false;
  return Simulate(options);
}

// Load: uneven servers with spells and pauses, a demand that swings in each
// domain, and a low, usual and high rate. Guards against waiting at servers
// that state to be slow, against more traffic between domains, and against work
// that swings between them.
TEST(ReportedLoadTest, WaitingFallsWithoutMoreCrossing) {
  size_t refused = 0;
  size_t refused_before = 0;
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    const double rate = 240 + 160.0 * static_cast<double>(seed % 3);
    SimulationOptions options = Options();
    options.rate = rate;
    options.seed = seed;
    const SimulationResult observed = SimulateObserved(options);
    const SimulationResult stated = Simulate(options);
    Print("observed times at " + std::to_string(rate) + "/s", observed);
    Print("stated slowness at " + std::to_string(rate) + "/s", stated);
    EXPECT_LT(stated.MeanWait(), observed.MeanWait()) << rate;
    EXPECT_LE(stated.CrossedShare(), observed.CrossedShare()) << rate;
    EXPECT_LE(stated.CrossingSwing(), observed.CrossingSwing()) << rate;
    EXPECT_GE(stated.Value(), observed.Value()) << rate;
    refused += stated.refused;
    refused_before += observed.refused;
  }
  // Only the highest rate is refused, and by how much differs between seeds.
  EXPECT_LE(refused, refused_before);
}

// Load: the same with four times as many entry nodes, so that each knows less
// of the servers. Guards against nodes that move together.
TEST(ReportedLoadTest, ManyNodes) {
  SimulationOptions options = Options();
  options.nodes = 36;
  const SimulationResult observed = SimulateObserved(options);
  const SimulationResult stated = Simulate(options);
  Print("observed times", observed);
  Print("stated slowness", stated);
  EXPECT_LT(stated.MeanWait(), observed.MeanWait());
  EXPECT_LE(stated.CrossedShare(), observed.CrossedShare());
  EXPECT_LE(stated.CrossingSwing(), observed.CrossingSwing());
  EXPECT_GE(stated.Value(), observed.Value());
}

// Guards against a change for servers that state three figures: the choices are
// the same, one by one.
TEST(ReportedLoadTest, ThreeFiguresChangeNothing) {
  SimulationOptions options = Options();
  options.length = seconds(10);
  options.statement = nullptr;
  const SimulationResult before = SimulateObserved(options);
  const SimulationResult after = Simulate(options);
  EXPECT_EQ(after.attempts, before.attempts);
  EXPECT_EQ(after.answer_times, before.answer_times);
  EXPECT_EQ(after.crossed_by_interval, before.crossed_by_interval);
}

struct FalseStatement {
  std::string name;
  std::function<std::optional<ServerLoad>(ServerLoad load, Duration at)> state;
};

std::vector<FalseStatement> FalseStatements() {
  return {
      {"idle and fast",
       [](ServerLoad, Duration) {
         return std::optional(ServerLoad{0, 0, 4, 0.01});
       }},
      {"many slots",
       [](ServerLoad load, Duration) {
         load.slots = 1000;
         load.slowness = 0.5;
         return std::optional(load);
       }},
      {"first slow, then fast",
       [](ServerLoad, Duration at) {
         return std::optional(ServerLoad{0, 0, 4, at < seconds(10) ? 6 : 0.01});
       }},
      {"alternately slow and fast",
       [](ServerLoad, Duration at) {
         return std::optional(
             ServerLoad{0, 0, 4, at / milliseconds(300) % 2 == 0 ? 3 : 0.01});
       }},
      {"silent",
       [](ServerLoad, Duration) { return std::optional<ServerLoad>(); }},
      {"silent after 5 s",
       [](ServerLoad load, Duration at) {
         load.slowness = 1;
         return at < seconds(5) ? std::optional(load) : std::nullopt;
       }},
      {"idle without the fourth figure",
       [](ServerLoad, Duration) {
         return std::optional(ServerLoad{0, 0, 4, std::nullopt});
       }},
  };
}

// Load: one server of each shard makes false statements or none, the slow one
// (1.3), the middle one and the fast one alike. Guards against statements that
// attract work: the servers get at most 1.2 times what they get if all state
// the truth.
TEST(ReportedLoadTest, FalseStatementsAttractLittle) {
  const auto is_false = [](size_t shard, size_t server) {
    return server == shard / 3 % 3;
  };
  SimulationOptions options = Options();
  const auto honest = options.statement;
  const SimulationResult truth = Simulate(options);
  for (const FalseStatement& it : FalseStatements()) {
    options.statement = [&](size_t shard, size_t server, ServerLoad load,
                            Duration at) {
      return is_false(shard, server) ? it.state(load, at)
                                     : honest(shard, server, load, at);
    };
    const SimulationResult result = Simulate(options);
    std::array<double, 3> fair = {};
    std::array<double, 3> got = {};
    for (size_t shard = 0; shard < options.shards; ++shard) {
      const size_t i = shard * 3 + shard / 3 % 3;
      const size_t speed = (shard + shard / 3 % 3) % 3;
      fair[speed] += static_cast<double>(truth.arrivals.at(i).size());
      got[speed] += static_cast<double>(result.arrivals.at(i).size());
    }
    for (size_t speed = 0; speed < 3; ++speed) {
      std::cout << it.name << ", speed " << speed << ": "
                << got[speed] / fair[speed] << " of the fair share\n";
      EXPECT_LE(got[speed], 1.2 * fair[speed]) << it.name << " " << speed;
    }
    Print(it.name, result);
  }
}

}  // namespace
}  // namespace gooseberryrock::relay
