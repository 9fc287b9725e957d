// Plays entry nodes against the control code without sockets, and checks the
// bytes and the operations (list entries copied, hashed or encoded) of each
// kind of message. Prints `name nodes value unit bound pass|fail`. Bounds
// follow from the targets: what is steady does not grow with the nodes, and
// traffic grows with at most the power 1.1 of the nodes. Times are printed
// only.
//
// Three failure domains with two control VMs each; the entry nodes of a domain
// poll one of them, four times a second. A restart lasts longer than the
// control VMs keep a silent node listed, so that it changes the list twice.

#include <malloc.h>

#include <array>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_node_lists.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/node_list/followed_node_list.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/convert_node_list.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "peer.pb.h"
#include "route_text.h"
#include "route_updates.h"

namespace gooseberryrock::control {
namespace {

constexpr size_t kDomains = 3;
constexpr size_t kControlVms = 6;
constexpr double kPollsPerSecond = 4;
constexpr double kHellosPerSecond = 2;
constexpr Duration kSilence = std::chrono::seconds(11);
constexpr size_t kSmallest = 30;
// Goal for the growth of traffic with the number of nodes.
constexpr double kPower = 1.1;
// Goal for the control traffic of a node, and the share of it that the list may
// take without changes; the directory alone takes a third.
constexpr double kNodeBytesPerSecond = 6000;
constexpr double kListShare = 0.1;
// Versions and counts take a few more bytes in larger deployments.
constexpr double kNumberBytes = 16;

struct Cost {
  double bytes = 0;
  double operations = 0;
};

std::string Domain(size_t number) {
  return "domain-" + std::to_string(number);
}

// Names as long as those of the users' deployments.
NodeId Node(size_t number) {
  return {"10.1." + std::to_string(number / 250) + "." +
          std::to_string(number % 250)};
}

struct ControlVm {
  explicit ControlVm(size_t vm_number)
      : number(vm_number), lists(Incarnation()) {}

  NodeId Name() const { return {"vm-" + std::to_string(number)}; }
  uint64_t Incarnation() const { return 1'700'000'000'000'000 + number; }

  size_t number;
  EntryNodeLists lists;
};

// The control VMs that are polled, one in each domain, with an entry node that
// polls the first one.
struct Fleet {
  explicit Fleet(size_t node_count) : nodes(node_count) {
    PollAll(nodes);
    SendHellos();
    SendHellos();
  }

  // All nodes but `lost` poll. These polls are not counted.
  void PollAll(size_t lost) {
    for (size_t i = 0; i < nodes; ++i) {
      if (i != lost) {
        vms[i % kDomains].lists.OnPoll(Node(i), {Domain(i % kDomains)}, now);
      }
    }
    // The control VMs have heard each other since the last step.
    SendHellos();
    for (ControlVm& it : vms) {
      it.lists.RemoveLost(now);
    }
  }

  // Returns the cost of one hello of the first control VM.
  Cost SendHellos() {
    Cost cost;
    for (ControlVm& from : vms) {
      for (ControlVm& to : vms) {
        if (from.number == to.number) {
          continue;
        }
        const uint64_t before = from.lists.Operations();
        proto::ControlHello hello;
        from.lists.FillHello(to.Name(), hello);
        if (from.number == 0) {
          cost = {static_cast<double>(hello.ByteSizeLong()),
                  static_cast<double>(from.lists.Operations() - before)};
        }
        peer::PeerFrame frame;
        frame.sender = from.Name();
        frame.incarnation = from.Incarnation();
        to.lists.OnHello(frame, hello, now);
      }
    }
    return cost;
  }

  // A poll of the entry node and its reply.
  Cost Poll() {
    ControlVm& vm = vms[0];
    const uint64_t before = vm.lists.Operations();
    proto::EntryPoll poll;
    poll.set_failure_domain(Domain(0));
    proto::SetKnownNodeList(followed, poll);
    proto::EntryPollReply reply;
    vm.lists.AnswerPoll(poll, reply);
    ApplyUpdate(followed, *proto::ReadNodeListUpdate(reply), vm.Incarnation());
    return {static_cast<double>(poll.ByteSizeLong() + reply.ByteSizeLong()),
            static_cast<double>(vm.lists.Operations() - before)};
  }

  size_t nodes;
  SteadyTime now{std::chrono::hours(1)};
  std::array<ControlVm, kDomains> vms{ControlVm(0), ControlVm(1), ControlVm(2)};
  node_list::FollowedNodeList followed;
};

struct Results {
  void Print(const std::string& name,
             size_t nodes,
             double value,
             const std::string& unit,
             std::optional<double> bound) {
    const bool ok = !bound || value <= *bound;
    all_pass = all_pass && ok;
    std::cout << name << " " << nodes << " " << value << " " << unit << " ";
    if (bound) {
      std::cout << *bound << (ok ? " pass\n" : " fail\n");
    } else {
      std::cout << "- pass\n";
    }
  }

  // The bound is the value for the smallest deployment, grown by `power`.
  void PrintGrowth(const std::string& name,
                   size_t nodes,
                   double value,
                   const std::string& unit,
                   double power) {
    const double first = smallest.try_emplace(name + unit, value).first->second;
    const double factor =
        std::pow(static_cast<double>(nodes) / kSmallest, power);
    Print(name, nodes, value, unit, first * factor + kNumberBytes);
  }

  bool all_pass = true;
  std::map<std::string, double> smallest;
};

double MicrosecondsOf(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void MeasureSteady(size_t nodes, Results& results) {
  Fleet fleet(nodes);
  const Cost first = fleet.Poll();
  const Cost poll = fleet.Poll();
  const Cost hello = fleet.SendHellos();
  // A whole list is allowed once for each start of a node.
  results.PrintGrowth("first_poll", nodes, first.bytes, "bytes", 1);
  results.PrintGrowth("steady_poll", nodes, poll.bytes, "bytes", 0);
  results.Print("steady_poll", nodes, poll.operations, "operations", 0);
  results.Print("steady_node", nodes, kPollsPerSecond * poll.bytes,
                "bytes_per_second", kListShare * kNodeBytesPerSecond);
  results.PrintGrowth("steady_hello", nodes, hello.bytes, "bytes", 0);
  results.Print("steady_hello", nodes, hello.operations, "operations", 0);
  const double polls = kPollsPerSecond * static_cast<double>(nodes) / kDomains;
  const double hellos = kHellosPerSecond * (kControlVms - 1);
  results.PrintGrowth("steady_vm", nodes,
                      polls * poll.bytes + hellos * hello.bytes,
                      "bytes_per_second", kPower);
  results.Print("steady_vm", nodes,
                polls * poll.operations + hellos * hello.operations,
                "operations_per_second", 0);
  constexpr int kRepeats = 1000;
  const double us = MicrosecondsOf([&] {
    for (int i = 0; i < kRepeats; ++i) {
      fleet.Poll();
    }
  });
  results.Print("steady_poll", nodes, us / kRepeats, "us", std::nullopt);
  const size_t before = mallinfo2().uordblks;
  const Fleet other(nodes);
  results.Print("lists_of_vm", nodes,
                static_cast<double>(mallinfo2().uordblks - before) / kDomains,
                "bytes", std::nullopt);
}

// The nodes restart one after the other. Each node sees the same replies, so
// that one is played for all: node 0, which is the last to restart.
void MeasureRestarts(size_t nodes,
                     size_t restarts,
                     const std::string& name,
                     double power,
                     Results& results) {
  Fleet fleet(nodes);
  fleet.Poll();
  Cost total;
  Cost hellos;
  const auto add = [](Cost& sum, const Cost& cost) {
    sum.bytes += cost.bytes;
    sum.operations += cost.operations;
  };
  for (size_t i = 1; i <= restarts; ++i) {
    for (const size_t lost : {i % nodes, nodes}) {
      fleet.now += kSilence;
      fleet.PollAll(lost);
      // The second hellos say that the first ones arrived.
      add(hellos, fleet.SendHellos());
      add(hellos, fleet.SendHellos());
      add(total, fleet.Poll());
    }
  }
  if (restarts == nodes) {
    // The list for its own restart.
    fleet.followed = {};
    add(total, fleet.Poll());
  }
  results.PrintGrowth(name, nodes, total.bytes, "bytes_per_node", power);
  results.PrintGrowth(name, nodes, total.operations, "operations_per_node",
                      power);
  results.PrintGrowth(name, nodes,
                      total.bytes * static_cast<double>(nodes) / kDomains +
                          hellos.bytes * (kControlVms - 1),
                      "bytes_of_vm", power + 1);
}

// Prints the bytes of one reply, which may take `share` of the whole document.
void MeasureConfiguration(const std::string& name,
                          const std::string& from,
                          const std::string& to,
                          double share,
                          Results& results) {
  RouteUpdates updates;
  updates.OnStored({1, routes::CompressText(from)});
  updates.OnStored({2, routes::CompressText(to)});
  proto::EntryPoll poll;
  poll.set_routes_version(1);
  proto::EntryPollReply whole;
  updates.AnswerPoll(poll, whole);
  poll.set_routes_text_hash(Hash64(from));
  proto::EntryPollReply difference;
  const double us =
      MicrosecondsOf([&] { updates.AnswerPoll(poll, difference); });
  const auto whole_bytes = static_cast<double>(whole.ByteSizeLong());
  results.Print(name + "_to", 1, static_cast<double>(to.size()),
                "bytes_uncompressed", std::nullopt);
  results.Print(name + "_whole", 1, whole_bytes, "bytes_per_node",
                std::nullopt);
  results.Print(name, 1, static_cast<double>(difference.ByteSizeLong()),
                "bytes_per_node", share * whole_bytes);
  results.Print(name, 1, us, "us_per_version", std::nullopt);
}

int Run(size_t largest) {
  Results results;
  for (const size_t nodes :
       {kSmallest, size_t{100}, size_t{300}, size_t{1000}, size_t{2300}}) {
    if (nodes > largest) {
      break;
    }
    MeasureSteady(nodes, results);
    MeasureRestarts(nodes, 1, "restart_of_one", 0, results);
    MeasureRestarts(nodes, nodes, "restart_of_all", kPower, results);
  }
  const std::string text = MakeRouteText(kTextServices, 0, 20);
  const std::string grown = MakeRouteText(kTextServices, kAddedRoutes, 20);
  MeasureConfiguration("one_value_changed", text,
                       MakeRouteText(kTextServices, 0, 21), 0.1, results);
  MeasureConfiguration("routes_added", text, grown, 1, results);
  MeasureConfiguration("grown_one_value_changed", grown,
                       MakeRouteText(kTextServices, kAddedRoutes, 21), 0.1,
                       results);
  return results.all_pass ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace gooseberryrock::control

int main(int argc, char** argv) {
  return gooseberryrock::control::Run(argc > 1 ? std::stoul(argv[1]) : 1000);
}
