// Plays entry nodes against the control code without sockets, and prints the
// bytes and the operations (list entries copied, hashed or encoded) of each
// kind of message. Usage: control_cost_bench. Prints `name nodes value unit`.
//
// Three failure domains with two control VMs each; the entry nodes of a domain
// poll one of them, four times a second. A restart lasts longer than the
// control VMs keep a silent node listed, so that it changes the list twice.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "control_peers.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "peer.pb.h"
#include "route_text.h"

namespace gooseberryrock::control {
namespace {

constexpr size_t kDomains = 3;
constexpr size_t kControlVms = 6;
constexpr double kPollsPerSecond = 4;
constexpr double kHellosPerSecond = 2;
constexpr Duration kSilence = std::chrono::seconds(11);

struct Cost {
  size_t bytes = 0;
  size_t operations = 0;
};

std::string Domain(size_t number) {
  return "domain-" + std::to_string(number);
}

// Names as long as those of the users' deployments.
NodeId Node(size_t number) {
  return {"10.1." + std::to_string(number / 250) + "." +
          std::to_string(number % 250)};
}

// One control VM with the nodes that poll it and those that poll its peers.
struct Fleet {
  explicit Fleet(size_t node_count) : nodes(node_count) { PollAll(nodes); }

  // All nodes but `lost` poll. The polls themselves are not counted.
  void PollAll(size_t lost) {
    std::map<size_t, ControlPeer> others;
    for (size_t i = 0; i < nodes; ++i) {
      const size_t domain = i % kDomains;
      if (i == lost) {
        continue;
      }
      if (domain == 0) {
        peers.OnEntryPoll(Node(i), {Domain(domain)}, now);
      } else {
        others[domain].entry_nodes[Node(i)] = {Domain(domain)};
      }
    }
    for (auto& [domain, peer] : others) {
      peer.domain = {Domain(domain)};
      peer.contact.last_contact = now;
      peers.OnHello({"vm-" + std::to_string(domain)}, peer);
    }
    peers.RemoveLostEntryNodes(now);
  }

  // As in ControlNode.
  Cost AnswerPoll(uint64_t& digest_of_node) {
    Cost cost;
    proto::EntryPollReply reply;
    uint64_t digest = 0;
    for (const auto& [domain, entries] : peers.AllEntryNodes(now)) {
      auto& message = *reply.add_entry_nodes();
      message.set_failure_domain(domain.value);
      digest = Hash64(domain.value, digest);
      for (const NodeId& it : entries) {
        message.add_nodes(it.value);
        digest = Hash64(it.value, digest);
        // Copied out of the peers, hashed and put into the message.
        cost.operations += 3;
      }
    }
    reply.set_entry_nodes_digest(digest);
    if (digest_of_node == digest) {
      reply.clear_entry_nodes();
    }
    proto::EntryPoll poll;
    poll.set_failure_domain(Domain(0));
    poll.set_entry_nodes_digest(digest_of_node);
    digest_of_node = digest;
    cost.bytes = poll.ByteSizeLong() + reply.ByteSizeLong();
    return cost;
  }

  Cost Hello() const {
    Cost cost;
    proto::ControlHello hello;
    auto& message = *hello.add_entry_nodes();
    message.set_failure_domain(Domain(0));
    for (const auto& [node, domain] : peers.PollingEntryNodes()) {
      message.add_nodes(node.value);
      cost.operations += 2;
    }
    cost.bytes = hello.ByteSizeLong();
    return cost;
  }

  size_t nodes;
  SteadyTime now{std::chrono::hours(1)};
  ControlPeers peers{{"vm-0"}, {Domain(0)}};
};

void Print(const std::string& name,
           size_t nodes,
           double value,
           const std::string& unit) {
  std::cout << name << " " << nodes << " " << value << " " << unit << "\n";
}

void MeasureSteady(size_t nodes) {
  Fleet fleet(nodes);
  uint64_t digest = 0;
  const Cost first = fleet.AnswerPoll(digest);
  const Cost steady = fleet.AnswerPoll(digest);
  const Cost hello = fleet.Hello();
  Print("first_poll", nodes, double(first.bytes), "bytes");
  Print("steady_poll", nodes, double(steady.bytes), "bytes");
  Print("steady_poll", nodes, double(steady.operations), "operations");
  Print("steady_hello", nodes, double(hello.bytes), "bytes");
  Print("steady_hello", nodes, double(hello.operations), "operations");
  const double polls = kPollsPerSecond * double(nodes) / kDomains;
  const double hellos = kHellosPerSecond * (kControlVms - 1);
  Print("steady_vm", nodes,
        polls * double(steady.bytes) + hellos * double(hello.bytes),
        "bytes_per_second");
  Print("steady_vm", nodes,
        polls * double(steady.operations) + hellos * double(hello.operations),
        "operations_per_second");
}

// The nodes restart one after the other. Each node sees the same replies, so
// that one is played for all: node 0, which is the last to restart.
void MeasureRestarts(size_t nodes, size_t restarts, const std::string& name) {
  Fleet fleet(nodes);
  uint64_t digest = 0;
  fleet.AnswerPoll(digest);
  Cost total;
  for (size_t i = 1; i <= restarts; ++i) {
    for (const size_t lost : {i % nodes, nodes}) {
      fleet.now += kSilence;
      fleet.PollAll(lost);
      const Cost cost = fleet.AnswerPoll(digest);
      total.bytes += cost.bytes;
      total.operations += cost.operations;
    }
  }
  // The list for its own restart.
  uint64_t none = 0;
  const Cost whole = fleet.AnswerPoll(none);
  if (restarts == nodes) {
    total.bytes += whole.bytes;
    total.operations += whole.operations;
  }
  Print(name, nodes, double(total.bytes), "bytes_per_node");
  Print(name, nodes, double(total.operations), "operations_per_node");
  Print(name, nodes, double(total.bytes) * double(nodes) / kDomains,
        "bytes_of_vm");
}

void MeasureConfiguration(const std::string& name,
                          const std::string& from,
                          const std::string& to) {
  proto::EntryPollReply reply;
  reply.mutable_routes()->set_version(2);
  reply.mutable_routes()->set_compressed_text(routes::CompressText(to));
  Print(name + "_from", 1, double(from.size()), "bytes_uncompressed");
  Print(name + "_to", 1, double(to.size()), "bytes_uncompressed");
  Print(name, 1, double(reply.ByteSizeLong()), "bytes_per_node");
}

int Run() {
  for (size_t nodes : {30, 100, 300, 1000}) {
    MeasureSteady(nodes);
    MeasureRestarts(nodes, 1, "restart_of_one");
    MeasureRestarts(nodes, nodes, "restart_of_all");
  }
  const std::string text = MakeRouteText(kTextServices, 0, 20);
  MeasureConfiguration("one_value_changed", text,
                       MakeRouteText(kTextServices, 0, 21));
  MeasureConfiguration("routes_added", text,
                       MakeRouteText(kTextServices, kAddedRoutes, 20));
  MeasureConfiguration("grown_one_value_changed",
                       MakeRouteText(kTextServices, kAddedRoutes, 20),
                       MakeRouteText(kTextServices, kAddedRoutes, 21));
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gooseberryrock::control

int main() {
  return gooseberryrock::control::Run();
}
