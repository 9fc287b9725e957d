// Three nodes in three failure domains and nine stand-in backend servers of
// three shards, as processes on 127.0.0.1.

#ifndef GOOSEBERRYROCK_TESTS_PROCESS_CLUSTER_H_
#define GOOSEBERRYROCK_TESTS_PROCESS_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "caller.pb.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_reply.h"
#include "process.h"

namespace gooseberryrock::process_test {

inline constexpr size_t kNodes = 3;
inline constexpr size_t kShards = 3;
inline constexpr size_t kServers = 9;

struct Query {
  std::string text = "free chair";
  // Chosen by Cluster::Send() when empty.
  std::string request_id;
  bool idempotent = true;
  std::string routing_key;
  Duration deadline = std::chrono::milliseconds(500);
};

struct Reply {
  int http_status = 0;
  // The HTTP body; empty when no reply came.
  std::string body;
  proto::QueryAnswer answer;
};

// Sums over the ranks of one run of gbrload.
struct LoadResult {
  size_t sent = 0;
  double on_time = 0;
  size_t wrong = 0;
  std::map<std::string, size_t> statuses;
  // The table that gbrload printed.
  std::string output;

  size_t Count(const std::string& status) const;
  double OnTimeShare() const;
};

class Cluster {
 public:
  // Returns when each node gives complete answers; the test fails when one does
  // not within 10 s.
  Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  Process& node(size_t i) { return *nodes_[i]; }
  // Server n holds shard n / 3 in the failure domain n % 3.
  Process& server(size_t n) { return *servers_[n]; }
  uint16_t node_port(size_t i) const { return node_ports_[i]; }

  Reply Send(size_t node, Query query = {});
  // The status of GET /readyz; 0 when the node cannot be reached.
  int Ready(size_t node) const;

  // The reply of an operator call at a node; an empty object when there is
  // none.
  nlohmann::json OperatorCall(size_t node,
                              const std::string& name,
                              const std::string& body) const;
  // Index of the node that leads the replicated log, as the nodes that answer
  // say; nothing when they do not agree on one of them by the timeout.
  std::optional<size_t> WaitForLeader(Duration timeout) const;
  // Starts a node that has ended again, with the same settings.
  void RestartNode(size_t node);
  std::string DataFolder(size_t node) const;

  // Changes the behaviour of a server.
  void Control(size_t server, const nlohmann::json& change) const;
  void ControlShard(size_t shard, const nlohmann::json& change) const;
  // Makes the open connections of a server silent.
  void Silence(size_t server) const;
  nlohmann::json Stats(size_t server) const;
  // Executions of each request id, summed over all servers.
  std::map<std::string, uint64_t> Executions() const;

  // Starts gbrload over all nodes; `options` are added to its command line.
  void StartLoad(double seconds, const std::vector<std::string>& options = {});
  LoadResult WaitForLoad();

 private:
  void ChoosePorts();
  std::unique_ptr<Process> StartNode(size_t i) const;
  void StartServer(size_t n);
  std::string SettingsOf(size_t i) const;
  void CreateService() const;
  void WaitForCompleteAnswers();
  std::vector<std::string> NodeAddresses() const;
  http::HttpReply CallControl(size_t server,
                              const std::string& path,
                              const std::string& body) const;
  std::string PathOf(const std::string& file) const;

  const std::string folder_;
  std::vector<uint16_t> node_ports_;
  std::vector<uint16_t> peer_ports_;
  std::vector<uint16_t> server_ports_;
  std::vector<uint16_t> control_ports_;
  std::vector<std::unique_ptr<Process>> nodes_;
  std::vector<std::unique_ptr<Process>> servers_;
  std::unique_ptr<Process> load_;
  uint64_t next_request_ = 0;
};

// A request id of the form that non-idempotent requests need.
std::string NewRequestId(uint64_t number);

}  // namespace gooseberryrock::process_test

#endif  // GOOSEBERRYROCK_TESTS_PROCESS_CLUSTER_H_
