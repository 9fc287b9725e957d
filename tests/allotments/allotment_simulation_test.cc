// Virtual-time simulation of the allotments of 75 organisations over entry
// nodes and control VMs, with the load and the failures that the requirements
// name. Uses fixed seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/allotments/allotment_ledger.h"
#include "gooseberryrock/allotments/node_allotments.h"

namespace gooseberryrock::allotments {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDomains = 4;
constexpr size_t kControlVms = 8;
constexpr size_t kOrganisations = 75;
constexpr double kTotalRate = 137;
constexpr double kLimitFactor = 1.6;
constexpr Duration kPollInterval = milliseconds(250);
constexpr Duration kReplyTimeout = milliseconds(750);
constexpr SteadyTime kStart{seconds(1000)};
// Load starts when the control VMs grant requests.
constexpr SteadyTime kLoadStart = kStart + seconds(4);

struct Arrival {
  SteadyTime at;
  bool admitted = false;
};

class AllotmentSimulation {
 public:
  AllotmentSimulation(size_t nodes, uint64_t seed) : rng(seed) {
    double sum = 0;
    for (size_t i = 0; i < kOrganisations; ++i) {
      sum += std::pow(static_cast<double>(i + 1), -1.2);
    }
    for (size_t i = 0; i < kOrganisations; ++i) {
      usual.push_back(kTotalRate * std::pow(static_cast<double>(i + 1), -1.2) /
                      sum);
      limits[i] = {kLimitFactor * usual[i], kLimitFactor * usual[i]};
    }
    factor.resize(kOrganisations, 1);
    arrivals.resize(kOrganisations);
    choose_node = [this](size_t /*organisation*/) { return AnyNode(); };
    vms_.resize(kControlVms);
    for (size_t i = 0; i < kControlVms; ++i) {
      StartVm(i);
      EveryTick(i);
    }
    nodes_.resize(nodes);
    for (size_t i = 0; i < nodes; ++i) {
      StartNode(i);
      At(kStart + Uniform(Duration::zero(), kPollInterval),
         [this, i] { Poll(i); });
    }
    for (size_t i = 0; i < kOrganisations; ++i) {
      ScheduleArrival(i, kLoadStart);
    }
  }

  void At(SteadyTime at, std::function<void()> action) {
    events_.emplace(at, std::move(action));
  }

  void Run(Duration duration) {
    const SteadyTime end = kLoadStart + duration;
    while (!events_.empty() && events_.begin()->first < end) {
      auto it = events_.begin();
      now = it->first;
      const auto action = std::move(it->second);
      events_.erase(it);
      action();
    }
  }

  size_t AnyNode() {
    size_t i = 0;
    do {
      i = std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(rng);
    } while (!nodes_[i].is_running);
    return i;
  }

  void Flood(size_t organisation, double by, SteadyTime from, Duration time) {
    is_flooding[organisation] = true;
    At(from, [this, organisation, by] {
      factor[organisation] = by;
      ScheduleArrival(organisation, now);
    });
    At(from + time, [this, organisation] { factor[organisation] = 1; });
  }

  void KillVm(size_t i, SteadyTime from, Duration time) {
    At(from, [this, i] { vms_[i].is_running = false; });
    At(from + time, [this, i] { StartVm(i); });
  }

  void RestartNode(size_t i, SteadyTime from, Duration time) {
    At(from, [this, i] { nodes_[i].is_running = false; });
    At(from + time, [this, i] { StartNode(i); });
  }

  void CutOff(size_t domain, SteadyTime from, Duration time) {
    At(from, [this, domain] { cut_off_ = domain; });
    At(from + time, [this] { cut_off_ = kDomains; });
  }

  // Nodes follow new routes with their next polls and the adoption delay.
  void ChangeLimit(size_t organisation,
                   organisations::Allotment limit,
                   SteadyTime at) {
    At(at, [this, organisation, limit] {
      limits[organisation] = limit;
      ++version_;
      for (Vm& it : vms_) {
        SetLimits(it.ledger, limits, version_, now);
      }
      for (size_t i = 0; i < nodes_.size(); ++i) {
        At(now + milliseconds(625) + Uniform(milliseconds(5), kPollInterval),
           [this, i] { SetLimits(nodes_[i].state, limits, now); });
      }
    });
  }

  // Checks the windows of the organisation that start from `from` on. Prints
  // how close they come to the bound.
  void ExpectRule(size_t organisation,
                  organisations::Allotment limit,
                  SteadyTime from = kLoadStart) {
    const AllotmentPolicy policy;
    const double bound =
        (limit.requests_per_second * 5 + limit.burst) * 1.1 + 20;
    std::vector<SteadyTime> admitted;
    for (const Arrival& it : arrivals[organisation]) {
      if (it.admitted && it.at >= from) {
        admitted.push_back(it.at);
      }
    }
    size_t most = 0;
    size_t end = 0;
    for (size_t i = 0; i < admitted.size(); ++i) {
      while (end < admitted.size() &&
             admitted[end] < admitted[i] + policy.window) {
        ++end;
      }
      most = std::max(most, end - i);
    }
    EXPECT_LE(static_cast<double>(most), bound)
        << "organisation " << organisation;
    closest = std::max(closest, static_cast<double>(most) / bound);
  }

  void ExpectRule() {
    for (size_t i = 0; i < kOrganisations; ++i) {
      ExpectRule(i, limits[i]);
    }
  }

  // Share of the requests of organisations below their limits that is refused.
  double RefusedShare() const {
    size_t all = 0;
    size_t refused = 0;
    for (size_t i = 0; i < kOrganisations; ++i) {
      if (is_flooding.contains(i)) {
        continue;
      }
      for (const Arrival& it : arrivals[i]) {
        ++all;
        refused += it.admitted ? 0 : 1;
      }
    }
    return static_cast<double>(refused) / static_cast<double>(all);
  }

  size_t NodeCount() const { return nodes_.size(); }

  std::mt19937_64 rng;
  SteadyTime now = kStart;
  std::vector<double> usual;
  std::vector<double> factor;
  Limits limits;
  std::map<size_t, bool> is_flooding;
  std::vector<std::vector<Arrival>> arrivals;
  std::function<size_t(size_t)> choose_node;
  double closest = 0;

 private:
  struct Node {
    bool is_running = false;
    uint64_t incarnation = 0;
    NodeAllotments state;
    std::map<size_t, SteadyTime> replied_at;
    size_t next_other = 0;
  };
  struct Vm {
    bool is_running = false;
    uint64_t incarnation = 0;
    AllotmentLedger ledger;
    uint64_t ticks = 0;
  };

  Duration Uniform(Duration from, Duration to) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        from.count(), to.count())(rng));
  }

  bool IsConnected(size_t domain, size_t other) const {
    return domain == other || (domain != cut_off_ && other != cut_off_);
  }

  Duration Delay(size_t domain, size_t other) {
    return domain == other ? Uniform(milliseconds(1), milliseconds(10))
                           : Uniform(milliseconds(4), milliseconds(100));
  }

  // Runs `action` when a message from one domain arrives in another one.
  void Send(size_t from, size_t to, std::function<void()> action) {
    At(now + Delay(from, to), [this, from, to, action = std::move(action)] {
      if (IsConnected(from, to)) {
        action();
      }
    });
  }

  void StartVm(size_t i) {
    Vm& vm = vms_[i];
    vm.is_running = true;
    ++vm.incarnation;
    vm.ledger = MakeLedger({}, now);
    SetLimits(vm.ledger, limits, version_, now);
  }

  void StartNode(size_t i) {
    Node& node = nodes_[i];
    node.is_running = true;
    ++node.incarnation;
    node.state = MakeNodeAllotments({}, rng());
    node.replied_at.clear();
    SetLimits(node.state, limits, now);
  }

  void EveryTick(size_t i) {
    Vm& vm = vms_[i];
    if (vm.is_running) {
      Advance(vm.ledger, now);
      vm.ledger.entry_nodes = nodes_.size();
      // Totals go with every second tick, complete ones each second.
      if (++vm.ticks % 2 == 0) {
        const auto totals = MakeTotals(vm.ledger, vm.ticks % 8 == 0, now);
        for (size_t to = 0; to < kControlVms; ++to) {
          if (to != i) {
            Send(i % kDomains, to % kDomains,
                 [this, i, to, totals, incarnation = vm.incarnation] {
                   if (vms_[to].is_running) {
                     OnTotals(vms_[to].ledger, {std::to_string(i)}, incarnation,
                              totals, now);
                   }
                 });
          }
        }
      }
    }
    At(now + kLedgerInterval + Uniform(Duration::zero(), milliseconds(3)),
       [this, i] { EveryTick(i); });
  }

  bool HasReplied(const Node& node, size_t vm) const {
    const auto it = node.replied_at.find(vm);
    return it != node.replied_at.end() && now - it->second < kReplyTimeout;
  }

  // As ControlPoller::Poll(): the VMs of the node's domain up to the first one
  // that replies, otherwise another one. The first that replies gets the
  // report.
  void Poll(size_t i) {
    Node& node = nodes_[i];
    const size_t domain = i % kDomains;
    if (node.is_running) {
      bool has_replied = false;
      for (size_t vm = domain; vm < kControlVms && !has_replied;
           vm += kDomains) {
        has_replied = HasReplied(node, vm);
        SendPoll(i, vm, has_replied);
      }
      for (size_t vm = 0; vm < kControlVms && !has_replied; ++vm) {
        if (vm % kDomains != domain && HasReplied(node, vm)) {
          has_replied = true;
          SendPoll(i, vm, true);
        }
      }
      if (!has_replied) {
        SendPoll(i, node.next_other++ % kControlVms, false);
      }
    }
    At(now + kPollInterval + Uniform(Duration::zero(), milliseconds(5)),
       [this, i] { Poll(i); });
  }

  void SendPoll(size_t i, size_t vm, bool with_report) {
    Node& node = nodes_[i];
    const uint64_t incarnation = node.incarnation;
    AllotmentReport report;
    if (with_report) {
      report = MakeReport(node.state);
    }
    const SteadyTime sent_at = now;
    Send(i % kDomains, vm % kDomains, [=, this] {
      if (!vms_[vm].is_running) {
        return;
      }
      std::optional<AllotmentGrant> grant;
      if (with_report) {
        OnReport(vms_[vm].ledger, {std::to_string(i)}, incarnation, report,
                 now);
        grant = MakeGrant(vms_[vm].ledger, report, 1, now);
      }
      Send(vm % kDomains, i % kDomains, [=, this] {
        Node& to = nodes_[i];
        if (!to.is_running || to.incarnation != incarnation) {
          return;
        }
        to.replied_at[vm] = now;
        if (with_report) {
          AcknowledgeReport(to.state, report.number);
        }
        if (grant) {
          ApplyGrant(to.state, *grant, sent_at);
        }
      });
    });
  }

  // Replaces the next arrival of the organisation.
  void ScheduleArrival(size_t organisation, SteadyTime from) {
    const double rate = usual[organisation] * factor[organisation];
    const double wait = std::exponential_distribution<double>(rate)(rng);
    const uint64_t number = ++next_arrival_[organisation];
    At(from + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(wait)),
       [this, organisation, number] {
         if (next_arrival_[organisation] != number) {
           return;
         }
         Node& node = nodes_[choose_node(organisation)];
         arrivals[organisation].push_back(
             {now, AdmitRequest(node.state, organisation, now).admitted});
         ScheduleArrival(organisation, now);
       });
  }

  uint64_t version_ = 1;
  size_t cut_off_ = kDomains;
  std::vector<Vm> vms_;
  std::vector<Node> nodes_;
  std::map<size_t, uint64_t> next_arrival_;
  std::multimap<SteadyTime, std::function<void()>> events_;
};

constexpr double kRefusedWithoutFault = 0.001;
constexpr double kRefusedDuringFault = 0.01;
// A large, a middle and a small organisation.
constexpr size_t kFlooding[] = {0, 6, 60};

class AllotmentSimulationTest : public testing::TestWithParam<size_t> {
 protected:
  // Runs the simulation with several seeds and checks the rule and the share of
  // requests below the limit that are refused.
  void Check(const std::function<void(AllotmentSimulation&)>& prepare,
             double refused_share,
             Duration duration = seconds(30)) {
    double closest = 0;
    double refused = 0;
    constexpr int kSeeds = 4;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      AllotmentSimulation simulation(GetParam(), seed);
      prepare(simulation);
      simulation.Run(duration);
      simulation.ExpectRule();
      refused += simulation.RefusedShare() / kSeeds;
      closest = std::max(closest, simulation.closest);
    }
    EXPECT_LT(refused, refused_share);
    std::printf("nodes=%zu largest_window=%.3f of the bound, refused=%.5f\n",
                GetParam(), closest, refused);
  }

  static void FloodInTurn(AllotmentSimulation& it, double by) {
    SteadyTime at = kLoadStart + seconds(10);
    for (const size_t organisation : kFlooding) {
      it.Flood(organisation, by, at, seconds(6));
      at += seconds(2);
    }
  }
};

INSTANTIATE_TEST_SUITE_P(Nodes,
                         AllotmentSimulationTest,
                         testing::Values(62, 300));

TEST_P(AllotmentSimulationTest, UsualLoad) {
  Check([](AllotmentSimulation&) {}, kRefusedWithoutFault);
}

TEST_P(AllotmentSimulationTest, FloodOfFiveTimes) {
  Check([](auto& it) { FloodInTurn(it, 5); }, kRefusedWithoutFault);
}

TEST_P(AllotmentSimulationTest, FloodOfEightTimes) {
  Check([](auto& it) { FloodInTurn(it, 8); }, kRefusedWithoutFault);
}

TEST_P(AllotmentSimulationTest, FloodWhileControlVmsAreLost) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        it.KillVm(0, kLoadStart + seconds(10), seconds(3));
        it.KillVm(4, kLoadStart + seconds(10), seconds(3));
        it.KillVm(5, kLoadStart + seconds(12), seconds(1));
      },
      kRefusedDuringFault);
}

TEST_P(AllotmentSimulationTest, AllControlVmsAreRestartedDuringFlood) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        for (size_t i = 0; i < kControlVms; ++i) {
          it.KillVm(i, kLoadStart + seconds(11), seconds(1));
        }
      },
      kRefusedDuringFault);
}

TEST_P(AllotmentSimulationTest, FloodWhileDomainIsCutOff) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        it.CutOff(1, kLoadStart + seconds(9), seconds(6));
      },
      kRefusedDuringFault);
}

TEST_P(AllotmentSimulationTest, FloodBeginsWhenDomainIsCutOff) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        it.CutOff(1, kLoadStart + seconds(10), seconds(6));
      },
      kRefusedDuringFault);
}

TEST_P(AllotmentSimulationTest, AllNodesAreRestartedInTurnDuringFlood) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        const size_t n = it.NodeCount();
        for (size_t i = 0; i < n; ++i) {
          it.RestartNode(i, kLoadStart + seconds(2) + i * seconds(20) / (2 * n),
                         seconds(1));
        }
      },
      kRefusedDuringFault);
}

TEST_P(AllotmentSimulationTest, AllCallersMoveToAnotherNode) {
  Check(
      [](auto& it) {
        FloodInTurn(it, 8);
        it.choose_node = [&it](size_t organisation) -> size_t {
          const auto moves =
              std::chrono::floor<seconds>(it.now - kLoadStart) / seconds(3);
          return organisation < 10
                     ? (organisation + static_cast<size_t>(moves)) %
                           it.NodeCount()
                     : it.AnyNode();
        };
      },
      kRefusedWithoutFault);
}

TEST_P(AllotmentSimulationTest, LoweredLimit) {
  for (const organisations::Allotment limit :
       {organisations::Allotment{10, 10}, organisations::Allotment{2, 2}}) {
    AllotmentSimulation simulation(GetParam(), 5);
    const SteadyTime at = kLoadStart + seconds(10);
    simulation.is_flooding[0] = true;
    simulation.ChangeLimit(0, limit, at);
    simulation.Run(seconds(25));
    // The nodes hear of the fraction with their polls.
    simulation.ExpectRule(0, limit, at + milliseconds(500));
    EXPECT_LT(simulation.RefusedShare(), kRefusedWithoutFault);
    std::printf("largest_window=%.3f of the bound\n", simulation.closest);
  }
}

}  // namespace
}  // namespace gooseberryrock::allotments
