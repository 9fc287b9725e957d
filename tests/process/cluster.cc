// Test cluster of processes on 127.0.0.1.

#include "cluster.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "raw_socket.h"

namespace gooseberryrock::process_test {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOperatorToken = "process-test-operator-token";
constexpr std::array kDomains = {"a", "b", "c"};
constexpr Duration kStartTimeout = seconds(10);
constexpr Duration kLoadTimeout = seconds(30);
constexpr int kHttpOk = 200;

http::HttpCall MakeLocalCall(uint16_t port,
                             std::string path,
                             std::string body) {
  http::HttpCall call;
  call.host = "127.0.0.1";
  call.port = port;
  call.path = std::move(path);
  call.body = std::move(body);
  return call;
}

std::string CreateTempFolder() {
  std::string path = testing::TempDir() + "gbr-process-test-XXXXXX";
  EXPECT_NE(::mkdtemp(path.data()), nullptr);
  return path;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

size_t LoadResult::Count(const std::string& status) const {
  auto it = statuses.find(status);
  return it == statuses.end() ? 0 : it->second;
}

double LoadResult::OnTimeShare() const {
  return sent == 0 ? 0 : on_time / static_cast<double>(sent);
}

std::string NewRequestId(uint64_t number) {
  const auto unix_ms = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(unix_ms.count()) + "-" + std::to_string(number);
}

Cluster::Cluster() : folder_(CreateTempFolder()) {
  ChoosePorts();
  for (size_t i = 0; i < kNodes; ++i) {
    nodes_.push_back(StartNode(i));
  }
  for (size_t n = 0; n < kServers; ++n) {
    StartServer(n);
  }
  CreateService();
  WaitForCompleteAnswers();
}

Cluster::~Cluster() {
  load_.reset();
  servers_.clear();
  nodes_.clear();
  if (testing::Test::HasFailure()) {
    std::cerr << "the logs are in " << folder_ << "\n";
  } else {
    std::filesystem::remove_all(folder_);
  }
}

void Cluster::ChoosePorts() {
  std::set<uint16_t> used;
  const auto choose = [&](std::vector<uint16_t>& ports, size_t n) {
    while (ports.size() < n) {
      const uint16_t port = http::FreePort();
      if (used.insert(port).second) {
        ports.push_back(port);
      }
    }
  };
  choose(node_ports_, kNodes);
  choose(peer_ports_, kNodes);
  choose(server_ports_, kServers);
  choose(control_ports_, kServers);
}

std::string Cluster::FilePath(const std::string& file) const {
  return folder_ + "/" + file;
}

std::string Cluster::MakeSettings(size_t i) const {
  Json peers = Json::array();
  for (size_t j = 0; j < kNodes; ++j) {
    if (j != i) {
      peers.push_back(
          {{"node", std::string("node-") + kDomains[j]},
           {"failure_domain", kDomains[j]},
           {"peer_address", {{"host", "127.0.0.1"}, {"port", peer_ports_[j]}}},
           {"control", true}});
    }
  }
  const Json settings = {
      {"cluster", "process-test"},
      {"node", std::string("node-") + kDomains[i]},
      {"failure_domain", kDomains[i]},
      {"http_address", {{"host", "127.0.0.1"}, {"port", node_ports_[i]}}},
      {"peer_address", {{"host", "127.0.0.1"}, {"port", peer_ports_[i]}}},
      {"data_folder", DataFolder(i)},
      {"peers", peers},
      {"cluster_key", "process-test-cluster-key-32-byte"},
      {"operator_token", kOperatorToken}};
  return settings.dump(2);
}

std::unique_ptr<Process> Cluster::StartNode(size_t i) const {
  const std::string name = "node-" + std::to_string(i);
  std::ofstream(FilePath(name + ".json")) << MakeSettings(i);
  return std::make_unique<Process>(
      std::vector<std::string>{GBRNODE_PATH, "--settings",
                               FilePath(name + ".json")},
      FilePath(name + ".log"));
}

void Cluster::RestartNode(size_t node) {
  nodes_[node] = StartNode(node);
}

std::string Cluster::DataFolder(size_t node) const {
  return FilePath("data-" + std::to_string(node));
}

std::optional<size_t> Cluster::WaitForLeader(Duration timeout) const {
  const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    for (size_t i = 0; i < kNodes; ++i) {
      const Json status = OperatorCall(i, "GetStatus", "{}");
      const Json control = status.value("control", Json::object());
      if (control.value("leader", "") == std::string("node-") + kDomains[i]) {
        return i;
      }
    }
  }
  return std::nullopt;
}

void Cluster::StartServer(size_t n) {
  const std::string id = "chairs-" + std::to_string(n);
  std::vector<std::string> arguments = {GBRSTANDIN_PATH,
                                        "--id",
                                        id,
                                        "--service",
                                        "chairs",
                                        "--failure-domain",
                                        kDomains[n % kDomains.size()],
                                        "--port",
                                        std::to_string(server_ports_[n]),
                                        "--control-port",
                                        std::to_string(control_ports_[n]),
                                        "--shards",
                                        "s" + std::to_string(n / kShards),
                                        "--seed",
                                        std::to_string(n + 1),
                                        "--nodes"};
  for (const std::string& node : NodeAddresses()) {
    arguments.push_back(node);
  }
  servers_.push_back(
      std::make_unique<Process>(arguments, FilePath(id + ".log")));
}

// Resends the command with the same id until a leader accepts it.
void Cluster::CreateService() const {
  const std::string command =
      Json(
          {{"command_id", "create-chairs"},
           {"expected_version", 0},
           {"put_service",
            {{"name", "chairs"},
             {"layouts", {{{"version", 1}, {"shards", {"s0", "s1", "s2"}}}}}}}})
          .dump();
  const SteadyTime deadline = std::chrono::steady_clock::now() + kStartTimeout;
  bool accepted = false;
  while (!accepted && std::chrono::steady_clock::now() < deadline) {
    accepted = OperatorCall(0, "SubmitCommand", command).value("status", "") ==
               "ACCEPTED";
  }
  EXPECT_TRUE(accepted) << "the command was not accepted in time";
}

Json Cluster::OperatorCall(size_t node,
                           const std::string& name,
                           const std::string& body) const {
  auto call = MakeLocalCall(node_ports_[node], "/v1/operator/" + name, body);
  call.headers["Authorization"] = std::string("Bearer ") + kOperatorToken;
  call.timeout = seconds(6);
  try {
    Json reply = Json::parse(http::Execute(call).body, nullptr, false);
    return reply.is_object() ? reply : Json::object();
  } catch (const http::HttpError&) {
    std::this_thread::sleep_for(milliseconds(20));
    return Json::object();
  }
}

void Cluster::WaitForCompleteAnswers() {
  for (size_t i = 0; i < kNodes; ++i) {
    const SteadyTime deadline =
        std::chrono::steady_clock::now() + kStartTimeout;
    std::string status;
    while (status != "complete" &&
           std::chrono::steady_clock::now() < deadline) {
      status = Send(i).answer.status();
      std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_EQ(status, "complete") << "from node " << i;
  }
}

std::vector<std::string> Cluster::NodeAddresses() const {
  std::vector<std::string> addresses;
  for (const uint16_t port : node_ports_) {
    addresses.push_back("127.0.0.1:" + std::to_string(port));
  }
  return addresses;
}

Reply Cluster::Send(size_t node, Query query) {
  if (query.request_id.empty()) {
    query.request_id = NewRequestId(++next_request_);
  }
  auto call = MakeLocalCall(node_ports_[node], "/v1/query/chairs",
                            Json({{"text", query.text}}).dump());
  call.headers = {
      {"Gbr-Request-Id", query.request_id},
      {"Gbr-Deadline-Ms",
       std::to_string(
           std::chrono::duration_cast<milliseconds>(query.deadline).count())},
      {"Gbr-Rank", "urgent"},
      {"Gbr-Idempotent", query.idempotent ? "true" : "false"},
      {"Gbr-Tenant", "tenant"}};
  if (!query.routing_key.empty()) {
    call.headers["Gbr-Routing-Key"] = query.routing_key;
  }
  call.timeout = query.deadline + seconds(2);
  Reply reply;
  try {
    const http::HttpReply http_reply = http::Execute(call);
    reply.http_status = http_reply.status;
    reply.body = http_reply.body;
    proto::FromJson(http_reply.body, reply.answer);
  } catch (const http::HttpError&) {
  } catch (const proto::MalformedMessageError&) {
  }
  return reply;
}

int Cluster::ReadinessStatus(size_t node) const {
  auto call = MakeLocalCall(node_ports_[node], "/readyz", "");
  call.method = "GET";
  try {
    return http::Execute(call).status;
  } catch (const http::HttpError&) {
    return 0;
  }
}

http::HttpReply Cluster::CallControl(size_t server,
                                     const std::string& path,
                                     const std::string& body) const {
  auto reply = http::Execute(MakeLocalCall(control_ports_[server], path, body));
  EXPECT_EQ(reply.status, kHttpOk) << reply.body;
  return reply;
}

void Cluster::ChangeBehaviour(size_t server, const Json& change) const {
  CallControl(server, "/control", change.dump());
}

void Cluster::ChangeShardBehaviour(size_t shard, const Json& change) const {
  for (size_t n = shard * kShards; n < (shard + 1) * kShards; ++n) {
    ChangeBehaviour(n, change);
  }
}

void Cluster::SilenceOpenConnections(size_t server) const {
  CallControl(server, "/silence", "");
}

Json Cluster::Stats(size_t server) const {
  return Json::parse(CallControl(server, "/stats", "").body);
}

std::map<std::string, uint64_t> Cluster::Executions() const {
  std::map<std::string, uint64_t> sums;
  for (size_t n = 0; n < kServers; ++n) {
    const auto executions = Json::parse(CallControl(n, "/executions", "").body);
    for (const auto& [id, count] : executions.items()) {
      sums[id] += count.get<uint64_t>();
    }
  }
  return sums;
}

void Cluster::StartLoad(double load_seconds,
                        const std::vector<std::string>& options) {
  std::vector<std::string> arguments = {GBRLOAD_PATH,
                                        "--service",
                                        "chairs",
                                        "--seconds",
                                        std::to_string(load_seconds),
                                        "--csv",
                                        FilePath("load.csv")};
  arguments.insert(arguments.end(), options.begin(), options.end());
  arguments.emplace_back("--nodes");
  for (const std::string& node : NodeAddresses()) {
    arguments.push_back(node);
  }
  load_ = std::make_unique<Process>(arguments, FilePath("load.log"));
}

LoadResult Cluster::WaitForLoad() {
  LoadResult result;
  EXPECT_TRUE(load_->WaitForExit(kLoadTimeout).has_value());
  result.output = ReadFile(FilePath("load.log"));
  // Columns: second, rank, sent, on_time_share, p50_ms, p95_ms, p99_ms,
  // coverage, wrong, statuses.
  for (const std::string& line : Split(ReadFile(FilePath("load.csv")), '\n')) {
    const auto fields = Split(line, ',');
    if (fields.size() != 10 || fields[0] != "all") {
      continue;
    }
    const size_t sent = std::stoul(fields[2]);
    result.sent += sent;
    result.on_time += std::stod(fields[3]) * static_cast<double>(sent);
    result.wrong += std::stoul(fields[8]);
    for (const std::string& status : Split(fields[9], ' ')) {
      const auto parts = Split(status, '=');
      result.statuses[parts[0]] += std::stoul(parts[1]);
    }
  }
  EXPECT_GT(result.sent, 0U) << result.output;
  return result;
}

}  // namespace gooseberryrock::process_test
