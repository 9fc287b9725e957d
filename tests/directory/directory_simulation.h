// Virtual-time simulation of nodes, backend servers and a faulty network.

#ifndef GOOSEBERRYROCK_TESTS_DIRECTORY_DIRECTORY_SIMULATION_H_
#define GOOSEBERRYROCK_TESTS_DIRECTORY_DIRECTORY_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/directory/ownership.h"

namespace gooseberryrock::directory {

struct Heartbeat {
  uint64_t change_count = 0;
};

struct SimulatedMessage {
  size_t from = 0;
  size_t to = 0;
  uint64_t incarnation = 0;
  std::variant<Heartbeat, DirectoryDelta, DirectoryDigest, DirectoryPull> body;
};

struct SimulatedNode {
  NodeId id;
  FailureDomain domain;
  bool running = true;
  uint64_t incarnation = 1;
  Directory directory;
  DirectoryExchange exchange;
  std::map<size_t, SteadyTime> last_message;
  DomainContacts contacts;
  // Highest (incarnation, state) of each server since the node started.
  std::map<BackendServerId, std::pair<uint64_t, ServerState>> highest;
  uint64_t checked_up_to = 0;
  // The exchange peers of this node, with their index in `nodes`.
  std::vector<std::pair<size_t, ExchangePeer>> peers;
};

struct SimulatedServer {
  ServerRecord record;
  bool running = true;
  // Index of the node that receives the announcements.
  size_t node = 0;
  SteadyTime accepted_at;
};

class DirectorySimulation {
 public:
  DirectorySimulation(size_t nodes, size_t servers, uint64_t seed);

  // Runs for `duration` in steps of 50 ms and checks the directories after each
  // step.
  void Run(Duration duration);

  void StopNode(size_t node);
  void StartNode(size_t node);
  void StopServer(size_t server);
  void StartServer(size_t server);
  void Announce(size_t server, ServerState state);

  // Describes a difference between the directories, or between them and the
  // servers; empty if there is none.
  std::string Divergence() const;

  // Probabilities for each message, and the maximum delay.
  double loss = 0;
  double duplication = 0;
  Duration max_delay = std::chrono::milliseconds(2);
  // Broken one-way links between nodes, and between failure domains.
  std::set<std::pair<size_t, size_t>> cut_nodes;
  std::set<std::pair<FailureDomain, FailureDomain>> cut_domains;

  std::mt19937_64 rng;
  std::vector<SimulatedNode> nodes;
  std::vector<SimulatedServer> servers;
  uint64_t messages = 0;
  // Called for each sent message.
  std::function<void(const SimulatedMessage&)> on_send;
  // Number of states that moved backward and of expiries by a node that is not
  // the owner.
  uint64_t violations = 0;
  // Number of running servers that were marked gone less than 2 s after a
  // running node accepted an announcement.
  uint64_t wrong_expiries = 0;

 private:
  bool Chance(double probability);
  bool IsCut(const FailureDomain& from, const FailureDomain& to) const;
  void Send(size_t from, size_t to, decltype(SimulatedMessage::body) body);
  void Receive(const SimulatedMessage& message);
  void Handle(SimulatedNode& node, size_t from, const Heartbeat& heartbeat);
  void Handle(SimulatedNode& node, size_t from, const DirectoryDelta& delta);
  void Handle(SimulatedNode& node, size_t from, const DirectoryDigest& digest);
  void Handle(SimulatedNode& node, size_t from, const DirectoryPull& pull);
  void OnSpan(SimulatedNode& node, size_t from, uint64_t start, uint64_t end);
  void Tick(size_t index);
  void DecideOwnership(SimulatedNode& node);
  bool IsReachable(const SimulatedServer& server);
  void AnnounceTo(SimulatedServer& server);
  void CheckOrder(SimulatedNode& node);
  size_t IndexOf(const SimulatedNode& node) const;

  SteadyTime now_ = SteadyTime() + std::chrono::hours(1);
  uint64_t step_ = 0;
  std::multimap<SteadyTime, SimulatedMessage> in_flight_;
};

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_TESTS_DIRECTORY_DIRECTORY_SIMULATION_H_
