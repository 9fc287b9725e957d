// Checks the bounds of the query policy (docs/design.md, 1.8) for two
// deployments, and compares it with a baseline of round-robin routing, one
// retry and a single queue.

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "bench_report.h"
#include "simulation.h"

namespace gooseberryrock::query::sim {
namespace {

using std::chrono::milliseconds;
constexpr Rank kUrgent = Rank::kUrgent;
constexpr Rank kNormal = Rank::kNormal;
constexpr Rank kBackground = Rank::kBackground;

struct Deployment {
  std::string name;
  Config config;
};

Deployment SalonDeployment() {
  return {"salon", {}};
}

Deployment PartsDeployment() {
  Config config;
  config.slots = 2;
  config.connection_limit = 25;
  config.domain_delay = std::chrono::microseconds(500);
  return {"parts", config};
}

// Sets the load by rank, as shares of the capacity.
Config WithLoad(Config config, double urgent, double normal, double other) {
  const double capacity =
      static_cast<double>(config.domains * config.slots) /
      std::chrono::duration<double>(config.mean_service).count();
  config.load[0] = {urgent * capacity, milliseconds(300)};
  config.load[1] = {normal * capacity, milliseconds(500)};
  config.load[2] = {other * capacity, milliseconds(1000)};
  if (const char* seed = std::getenv("GBR_BENCH_SEED")) {
    config.seed = std::strtoull(seed, nullptr, 10);
  }
  return config;
}

using Scenario = std::function<void(Simulation&)>;

class PolicyBench : public testing::TestWithParam<Deployment> {
 protected:
  std::string Name(const std::string& row) const {
    return GetParam().name + "." + row;
  }

  // Runs the scenario with the policy and with the baseline.
  void Run(const Config& config, double until, const Scenario& scenario) {
    policy_ = std::make_unique<Simulation>(config);
    scenario(*policy_);
    policy_->Run(until);
    Config other = config;
    other.baseline = true;
    baseline_ = std::make_unique<Simulation>(other);
    scenario(*baseline_);
    baseline_->Run(until);
  }

  template <typename Figure>
  void Check(const std::string& row,
             const std::string& unit,
             Bound kind,
             double bound,
             Figure figure) {
    Report(Name(row), figure(*policy_), unit, kind, bound, figure(*baseline_));
  }

  // Computes the share of its shard's subqueries that server `s` has received
  // since ResetReceived(), divided by its fair share.
  static void ComputeTrafficShare(Simulation& run, size_t s, double& share) {
    uint64_t all = 0;
    for (const Server& it : run.servers) {
      all += it.shard == run.servers[s].shard ? it.received : 0;
    }
    share = static_cast<double>(run.servers[s].received) * 3 /
            static_cast<double>(std::max<uint64_t>(all, 1));
  }

  static void ResetReceived(Simulation& run) {
    for (Server& it : run.servers) {
      it.received = 0;
    }
  }

  std::unique_ptr<Simulation> policy_;
  std::unique_ptr<Simulation> baseline_;
};

double ExtraShare(const Simulation& run) {
  return static_cast<double>(run.attempts) /
             static_cast<double>(run.first_attempts) -
         1;
}

// Guards against one slow server that dominates the latency of all queries.
TEST_P(PolicyBench, SlowAndStalledServer) {
  const Config config = WithLoad(GetParam().config, 0.3, 0.2, 0.1);
  Run(config, 20, [](Simulation& run) {
    run.At(10, [&run] { run.servers[1].slowdown = 20; });
    run.At(12, [&run] {
      run.servers[5].stalled_until =
          SteadyTime{std::chrono::seconds(1000 + 14)};
    });
  });
  Check("straggler.p99", "ratio", Bound::kAtMost, 1.3, [](auto& run) {
    return LatencyMs(run, {10, 20, {}}, 0.99) /
           LatencyMs(run, {4, 10, {}}, 0.99);
  });
  Check("straggler.extra", "share", Bound::kAtMost, 0.05, ExtraShare);
}

// Guards against answers that stay partial or slow after the loss of a failure
// domain.
TEST_P(PolicyBench, DomainLost) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.1, 0.05);
  Run(config, 20, [](Simulation& run) {
    run.At(10, [&run] {
      for (Server& it : run.servers) {
        it.down = it.domain == 0;
      }
    });
  });
  Check("domain_lost.p99", "ratio", Bound::kAtMost, 1.5, [](auto& run) {
    return LatencyMs(run, {13, 20, {}}, 0.99) /
           LatencyMs(run, {4, 10, {}}, 0.99);
  });
  Check("domain_lost.full_coverage", "share", Bound::kAtLeast, 0.999,
        [](auto& run) {
          return OnTimeShare(run, {13, 20, {}});
        });
}

// Guards against a server that attracts load because it fails fast, and against
// one that is slow while its load report claims that it is idle.
TEST_P(PolicyBench, MisleadingServers) {
  const Config config = WithLoad(GetParam().config, 0.3, 0.2, 0.1);
  for (const bool fails_fast : {true, false}) {
    double share = 0;
    double baseline = 0;
    Run(config, 20, [&](Simulation& run) {
      double& result = &run == policy_.get() ? share : baseline;
      run.At(10, [&run, fails_fast] {
        run.servers[4].fails_fast = fails_fast;
        run.servers[4].slowdown = fails_fast ? 1 : 3;
      });
      run.At(12, [&run] { ResetReceived(run); });
      run.At(20, [&run, &result] { ComputeTrafficShare(run, 4, result); });
    });
    Report(Name(fails_fast ? "misleading.fails_fast" : "misleading.slow_idle"),
           share, "fair_shares", Bound::kAtMost, 1.2, baseline);
  }
  // Load reports are not used, so a healthy server that reports bad health
  // keeps its share.
  double share = 0;
  double baseline = 0;
  Run(config, 20, [&](Simulation& run) {
    double& result = &run == policy_.get() ? share : baseline;
    run.At(12, [&run] { ResetReceived(run); });
    run.At(20, [&run, &result] { ComputeTrafficShare(run, 4, result); });
  });
  Report(Name("misleading.looks_unhealthy"), share, "fair_shares",
         Bound::kAtLeast, 0.5, baseline);
}

// Guards against a retry storm while all servers fail and after they recover.
TEST_P(PolicyBench, AllServersFail) {
  const Config config = WithLoad(GetParam().config, 0.3, 0.2, 0.1);
  for (const bool down : {true, false}) {
    const std::string row = down ? "all_down" : "all_shedding";
    uint64_t before[2] = {};
    uint64_t first_before[2] = {};
    double ratio[2] = {};
    Run(config, 22, [&](Simulation& run) {
      const size_t i = &run == policy_.get() ? 0 : 1;
      run.At(10, [&, i] {
        before[i] = run.attempts;
        first_before[i] = run.first_attempts;
        for (Server& it : run.servers) {
          (down ? it.down : it.shedding) = true;
        }
      });
      run.At(15, [&, i] {
        ratio[i] = static_cast<double>(run.attempts - before[i]) /
                   static_cast<double>(run.first_attempts - first_before[i]);
        for (Server& it : run.servers) {
          it.down = it.shedding = false;
        }
      });
    });
    Report(Name(row + ".attempts"), ratio[0], "ratio", Bound::kAtMost, 1.1,
           ratio[1]);
    Check(row + ".recovery", "share", Bound::kAtLeast, 0.99, [](auto& run) {
      return OnTimeShare(run, {17, 22, {}});
    });
  }
}

// Guards against an overload of background queries that delays urgent ones.
TEST_P(PolicyBench, BackgroundOverload) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.15, 0.05);
  Run(config, 20, [](Simulation& run) {
    run.At(8, [&run] { run.SetLoad(kBackground, 10 * run.Capacity()); });
  });
  Check("background_overload.urgent_on_time", "share", Bound::kAtLeast, 0.999,
        [](auto& run) {
          return OnTimeShare(run, {8, 19, kUrgent});
        });
  Check("background_overload.urgent_p99", "ratio", Bound::kAtMost, 1.25,
        [](auto& run) {
          return LatencyMs(run, {8, 19, kUrgent}, 0.99) /
                 LatencyMs(run, {3, 8, kUrgent}, 0.99);
        });
  Check("background_overload.normal_on_time", "share", Bound::kAtLeast, 0.95,
        [](auto& run) {
          return OnTimeShare(run, {8, 19, kNormal});
        });
  Check("background_overload.background_share", "share", Bound::kAtLeast, 0.1,
        [](auto& run) {
          return Goodput(run, {9, 19, kBackground}) / run.Capacity();
        });
}

// Guards against lost goodput and starved ranks in an overload of urgent
// queries.
TEST_P(PolicyBench, UrgentOverload) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.3, 0.3);
  Run(config, 20, [](Simulation& run) {
    run.At(8, [&run] { run.SetLoad(kUrgent, 10 * run.Capacity()); });
  });
  Check("urgent_overload.goodput", "share", Bound::kAtLeast, 0.9,
        [](auto& run) {
          return Goodput(run, {9, 19, {}}) / run.Capacity();
        });
  Check("urgent_overload.normal", "share", Bound::kAtLeast, 0.2, [](auto& run) {
    return Goodput(run, {9, 19, kNormal}) / run.Capacity();
  });
  Check("urgent_overload.background", "share", Bound::kAtLeast, 0.1,
        [](auto& run) {
          return Goodput(run, {9, 19, kBackground}) / run.Capacity();
        });
  Check("urgent_overload.refusal", "deadlines", Bound::kAtMost, 0.1,
        [](auto& run) {
          return MedianRefusal(run, {9, 19, {}});
        });
}

// Guards against starved ranks and queries held past their deadline when a
// partition and overloads coincide.
TEST_P(PolicyBench, OverloadsAndPartition) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.2, 0.1);
  Run(config, 20, [](Simulation& run) {
    run.At(6, [&run] { run.SetLoad(kBackground, 10 * run.Capacity()); });
    run.At(8, [&run] { run.SetLoad(kUrgent, 10 * run.Capacity()); });
    run.At(10, [&run] { run.Partition(0, true); });
  });
  for (const Rank rank : kAllRanks) {
    Check("partition." + std::string(RankName(rank)), "queries/s",
          Bound::kAtLeast, 1, [rank](auto& run) {
            return Goodput(run, {11, 19, rank});
          });
  }
  Check("partition.held_past_deadline", "ms", Bound::kAtMost, 0, [](auto& run) {
    return std::chrono::duration<double, std::milli>(run.held_past_deadline)
        .count();
  });
}

// Guards against long queues at servers that are cold after a mass restart.
TEST_P(PolicyBench, ColdServers) {
  const Config config = WithLoad(GetParam().config, 0.3, 0.2, 0.1);
  double steady[2] = {};
  Run(config, 20, [&](Simulation& run) {
    const size_t i = &run == policy_.get() ? 0 : 1;
    run.At(10, [&, i] {
      for (size_t s = 0; s < run.servers.size(); ++s) {
        Server& it = run.servers[s];
        steady[i] = std::max(steady[i], static_cast<double>(it.longest_queue));
        it.longest_queue = 0;
        if (s % 2 == 0) {
          run.Restart(it, 100, 5);
        }
      }
    });
  });
  auto longest = [](const Simulation& run) {
    size_t n = 0;
    for (const Server& it : run.servers) {
      n = std::max(n, it.longest_queue);
    }
    return static_cast<double>(n);
  };
  Report(Name("cold.queue"), longest(*policy_) / steady[0], "ratio",
         Bound::kAtMost, 2, longest(*baseline_) / steady[1]);
}

// Guards against requests that wait on unresponsive connections.
TEST_P(PolicyBench, SilentConnections) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.1, 0.05);
  uint64_t connects[2] = {};
  double peak[2] = {};
  Run(config, 20, [&](Simulation& run) {
    const size_t i = &run == policy_.get() ? 0 : 1;
    auto count = [&run] {
      uint64_t n = 0;
      for (const Server& it : run.servers) {
        n += it.connects;
      }
      return n;
    };
    run.At(10, [&, i, count] {
      run.MakeConnectionsUnresponsive();
      connects[i] = count();
    });
    run.At(11, [&, i, count] {
      peak[i] = static_cast<double>(count() - connects[i]) /
                static_cast<double>(run.servers.size());
    });
  });
  Check("silent_connections.on_time", "share", Bound::kAtLeast, 0.99,
        [](auto& run) {
          return OnTimeShare(run, {10, 12, {}});
        });
  Check("silent_connections.after_1s", "ratio", Bound::kAtMost, 1.3,
        [](auto& run) {
          return LatencyMs(run, {11, 20, {}}, 0.99) /
                 LatencyMs(run, {4, 10, {}}, 0.99);
        });
  // Guards against a connection storm: each server sees at most twice its
  // connection limit.
  Report(Name("silent_connections.connects"), peak[0], "connects",
         Bound::kAtMost, 2.0 * config.connection_limit, peak[1]);
}

// Guards against exceeding a server's connection limit.
TEST_P(PolicyBench, ConnectionLimit) {
  const Config config = WithLoad(GetParam().config, 1, 1, 1);
  Run(config, 10, [](Simulation& run) {
    run.At(4, [&run] { run.MakeConnectionsUnresponsive(); });
    run.At(6, [&run] { run.Partition(1, true); });
    run.At(8, [&run] { run.Partition(1, false); });
  });
  Check("connections.most", "connections", Bound::kAtMost,
        config.connection_limit, [](auto& run) {
          uint32_t n = 0;
          for (const Server& it : run.servers) {
            n = std::max(n, it.most_connections);
          }
          return static_cast<double>(n);
        });
}

// Guards against new work for a draining server or node.
TEST_P(PolicyBench, Drain) {
  const Config config = WithLoad(GetParam().config, 0.2, 0.1, 0.05);
  Run(config, 16, [](Simulation& run) {
    // All nodes know of the drain after one announcement (500 ms) and one
    // exchange (200 ms).
    run.At(10.7, [&run] {
      for (Node& it : run.nodes) {
        it.views[3].id = {};
      }
    });
    run.At(12, [&run] { run.servers[3].draining = true; });
    run.At(10, [&run] { run.nodes[0].stopping = true; });
  });
  Check("drain.new_work", "subqueries", Bound::kAtMost, 0, [](auto& run) {
    return static_cast<double>(run.late_sends_to_draining);
  });
  Check("drain.interrupted", "queries", Bound::kAtMost, 0, [](auto& run) {
    return static_cast<double>(run.nodes[0].queries.size() +
                               run.nodes[0].waiting.size());
  });
  Check("drain.on_time", "share", Bound::kAtLeast, 0.999, [](auto& run) {
    return OnTimeShare(run, {10, 15, {}});
  });
}

// Guards against server time spent on cancelled work.
TEST_P(PolicyBench, WastedWork) {
  const Config config = WithLoad(GetParam().config, 0.4, 0.3, 0.2);
  Run(config, 20, [](Simulation& run) {
    run.At(8, [&run] { run.servers[1].slowdown = 5; });
    run.At(12, [&run] { run.SetLoad(kUrgent, 3 * run.Capacity()); });
  });
  Check("cancellation.wasted", "share", Bound::kAtMost, 0.03, [](auto& run) {
    Duration busy = Duration::zero();
    Duration wasted = Duration::zero();
    for (const Server& it : run.servers) {
      busy += it.busy;
      wasted += it.wasted;
    }
    return std::chrono::duration<double>(wasted) /
           std::chrono::duration<double>(busy);
  });
}

INSTANTIATE_TEST_SUITE_P(Firms,
                         PolicyBench,
                         testing::Values(SalonDeployment(), PartsDeployment()),
                         [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace gooseberryrock::query::sim
