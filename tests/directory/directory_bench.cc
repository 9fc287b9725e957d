// Measures the traffic of the directory exchange per node for different numbers
// of servers, changes and nodes. Counts the bytes of sealed frames including
// the 2 or 9 bytes of ZeroMQ framing, without TCP headers and retransmissions.
// The bound is the target of 6 KB/s per node for the whole control plane.
//
// The target size has 2,800 restarts a day, each with four changes of a record
// (starting, ready, draining, gone): 0.13 changes/s.

#include <cmath>
#include <cstdio>
#include <string>

#include "directory_simulation.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "peer.pb.h"

namespace gooseberryrock::directory {
namespace {

using peer::FrameKind;

constexpr double kBytesBound = 6000;
constexpr int kSeconds = 40;

std::string Encode(const Heartbeat& heartbeat) {
  proto::PeerHeartbeat message;
  message.set_catalog_version(1000);
  message.set_change_count(heartbeat.change_count);
  message.set_failure_domain("x");
  return message.SerializeAsString();
}

template <typename Body>
std::string Encode(const Body& body) {
  return proto::ToMessage(body).SerializeAsString();
}

struct Traffic {
  double messages = 0;
  double bytes = 0;
};

class TrafficMeter {
 public:
  explicit TrafficMeter(DirectorySimulation& simulation)
      : simulation_(simulation) {
    simulation.on_send = [this](const SimulatedMessage& message) {
      Add(message);
    };
  }

  Traffic PerNodeAndSecond(double seconds) const {
    const double n = static_cast<double>(simulation_.nodes.size()) * seconds;
    return {static_cast<double>(messages_) / n,
            static_cast<double>(bytes_) / n};
  }

 private:
  void Add(const SimulatedMessage& message) {
    const peer::PeerFrame frame{
        "salon", peer::kProtocolVersion, simulation_.nodes[message.from].id,
        // An incarnation is a wall-clock time in milliseconds.
        1700000000000, 1000000, simulation_.nodes[message.to].id, 0,
        FrameKind::kDirectoryDelta,
        std::visit([](const auto& body) { return Encode(body); },
                   message.body)};
    const size_t size = peer::SealFrame(frame, key_).size();
    ++messages_;
    bytes_ += size + (size < 256 ? 2 : 9);
  }

  DirectorySimulation& simulation_;
  const peer::FrameKey key_ = peer::DeriveFrameKey("a cluster key");
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
};

// Fills the records with values of a realistic size.
void FillRecords(DirectorySimulation& simulation) {
  for (size_t i = 0; i < simulation.servers.size(); ++i) {
    ServerRecord& record = simulation.servers[i].record;
    record.service.value = "parts-search";
    record.host = "10.20.30.40";
    record.port = 8080;
    record.labels = {{"version", "2024.11"}, {"rack", "r17"}};
    record.replicas = {{3, {"shard-" + std::to_string(i % 410)}, {881, 882}}};
    record.slots = 2;
    record.connection_limit = 25;
  }
}

Traffic Measure(size_t nodes, size_t servers, double changes_per_second) {
  DirectorySimulation simulation(nodes, servers, 1);
  FillRecords(simulation);
  // Runs until all nodes know all servers and the digests agree.
  simulation.Run(std::chrono::seconds(10));
  TrafficMeter meter(simulation);
  double due = 0;
  size_t server = 0;
  for (int step = 0; step < kSeconds * 10; ++step) {
    for (due += changes_per_second / 10; due >= 1; due -= 1) {
      simulation.Announce(server++ % servers, ServerState::kReady);
    }
    simulation.Run(std::chrono::milliseconds(100));
  }
  if (simulation.violations != 0 || simulation.wrong_expiries != 0) {
    std::fprintf(stderr, "the directories are wrong\n");
  }
  return meter.PerNodeAndSecond(kSeconds);
}

bool Print(const std::string& name,
           double value,
           const char* unit,
           double bound) {
  const bool pass = value <= bound;
  std::printf("%s %.2f %s %.0f %s\n", name.c_str(), value, unit, bound,
              pass ? "pass" : "fail");
  std::fflush(stdout);
  return pass;
}

bool PrintTraffic(const std::string& name, const Traffic& traffic) {
  std::printf("%s_messages %.2f messages/s/node - pass\n", name.c_str(),
              traffic.messages);
  return Print(name + "_bytes", traffic.bytes, "B/s/node", kBytesBound);
}

bool Run() {
  bool pass = true;
  Traffic fewest;
  Traffic most;
  for (const size_t servers : {1000, 4000, 15000}) {
    most = Measure(8, servers, 0);
    fewest = servers == 1000 ? most : fewest;
    pass &= PrintTraffic("idle_servers_" + std::to_string(servers), most);
  }
  // Unchanged servers cause no traffic, because the root digest has a fixed
  // size.
  pass &= Print("idle_growth_1000_to_15000",
                100 * (most.bytes / fewest.bytes - 1), "percent", 1);
  for (const double changes : {0.13, 0.5, 1.0, 2.0, 4.0}) {
    char name[64];
    std::snprintf(name, sizeof(name), "changes_per_s_%.2f_nodes_8", changes);
    pass &= PrintTraffic(name, Measure(8, 1000, changes));
  }
  for (const size_t nodes : {16, 64, 256, 1024}) {
    pass &= PrintTraffic("changes_per_s_0.13_nodes_" + std::to_string(nodes),
                         Measure(nodes, 100, 0.13));
  }
  return pass;
}

}  // namespace
}  // namespace gooseberryrock::directory

int main() {
  return gooseberryrock::directory::Run() ? 0 : 1;
}
