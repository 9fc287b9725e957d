// Tests nodes partitioned from each other at the peer transport.

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/http/http_server.h"
#include "gooseberryrock/node/node.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/settings/settings.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "raw_socket.h"

namespace gooseberryrock::node {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kDomains = {"a", "b", "c"};
constexpr size_t kNodes = kDomains.size();
constexpr const char* kToken = "partition-test-operator-token";
constexpr Duration kTimeout = seconds(10);
// The node that is isolated.
constexpr size_t kIsolated = 2;

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

// A backend server that serves the only shard and announces itself to one node.
class Backend {
 public:
  Backend(const std::string& domain, uint16_t node_port)
      : domain_(domain),
        node_port_(node_port),
        port_(http::FreePort()),
        server_({"127.0.0.1", port_, 16},
                [](const auto& request) { return Handle(request); }),
        announcer_([this] { Run(); }) {}

  ~Backend() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    announcer_.join();
  }

 private:
  static http::HttpReply Handle(const http::HttpRequest& request) {
    Json reply = Json::parse(request.body);
    if (request.path != "/v1/subquery") {
      return {200, "application/json", "{}"};
    }
    for (const char* field : {"request_id", "service", "rank", "idempotent",
                              "deadline_ms", "text", "row_limit"}) {
      reply.erase(field);
    }
    reply["status"] = "ok";
    reply["rows"] = {"row"};
    reply["all_rows"] = true;
    reply["end"] = true;
    return {200, "application/json", reply.dump()};
  }

  void Run() {
    http::HttpCall call;
    call.host = "127.0.0.1";
    call.port = node_port_;
    call.path = "/v1/announce";
    call.timeout = milliseconds(500);
    call.body = Json({{"id", "server-" + domain_},
                      {"incarnation", 1},
                      {"state", "ready"},
                      {"sequence", 1},
                      {"service", "chairs"},
                      {"failure_domain", domain_},
                      {"host", "127.0.0.1"},
                      {"port", port_},
                      {"replicas",
                       {{{"layout_version", 1},
                         {"shard", "s0"},
                         {"index_versions", {1}}}}},
                      {"slots", 3},
                      {"connection_limit", 30}})
                    .dump();
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      try {
        http::Execute(call);
      } catch (const http::HttpError&) {
        // The node is not up yet; the next announcement is a retry.
      }
      lock.lock();
      changed_.wait_for(lock, milliseconds(300), [this] { return stopping_; });
    }
  }

  const std::string domain_;
  const uint16_t node_port_;
  const uint16_t port_;
  http::HttpServer server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::thread announcer_;
};

class PartitionTest : public testing::Test {
 protected:
  PartitionTest() {
    telemetry::InitializeLog(telemetry::LogLevel::kError);
    std::filesystem::create_directory(folder_);
    for (size_t i = 0; i < kNodes; ++i) {
      http_ports_[i] = http::FreePort();
      peer_ports_[i] = http::FreePort();
    }
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_[i] = std::make_unique<Node>(SettingsOf(i));
      backends_[i] = std::make_unique<Backend>(kDomains[i], http_ports_[i]);
    }
    EXPECT_TRUE(Accept(0, "create", 0, "chairs"));
    for (size_t i = 0; i < kNodes; ++i) {
      EXPECT_TRUE(WaitFor([&] { return SendSearch(i) == "complete"; }));
    }
  }

  ~PartitionTest() override {
    for (size_t i = 0; i < kNodes; ++i) {
      backends_[i].reset();
      nodes_[i].reset();
    }
    std::filesystem::remove_all(folder_);
  }

  static bool WaitFor(const std::function<bool()>& condition,
                      Duration timeout = kTimeout) {
    const SteadyTime until = Now() + timeout;
    while (!condition()) {
      if (Now() >= until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
  }

  static NodeId IdOf(size_t i) { return {std::string("node-") + kDomains[i]}; }

  settings::Settings SettingsOf(size_t i) const {
    settings::Settings settings;
    settings.cluster = "partition-test";
    settings.node = IdOf(i);
    settings.failure_domain.value = kDomains[i];
    settings.http_address = {"127.0.0.1", http_ports_[i]};
    settings.peer_address = {"127.0.0.1", peer_ports_[i]};
    settings.data_folder = folder_ + "/" + kDomains[i];
    for (size_t j = 0; j < kNodes; ++j) {
      if (j != i) {
        settings.peers.push_back(
            {IdOf(j), {kDomains[j]}, {"127.0.0.1", peer_ports_[j]}, true});
      }
    }
    settings.cluster_key = "partition-test-cluster-key-of-40-letters";
    settings.operator_token = kToken;
    return settings;
  }

  // Blocks or unblocks the links of node kIsolated. With `one_way`, only the
  // frames that it sends are dropped.
  void SetPartitioned(bool blocked, bool one_way = false) {
    for (size_t i = 0; i < kNodes; ++i) {
      if (i != kIsolated) {
        nodes_[kIsolated]->SetPeerBlocked(IdOf(i), peer::Direction::kOutgoing,
                                          blocked);
        nodes_[kIsolated]->SetPeerBlocked(IdOf(i), peer::Direction::kIncoming,
                                          blocked && !one_way);
      }
    }
  }

  Json Post(size_t node,
            const std::string& path,
            const Json& body,
            std::map<std::string, std::string> headers) const {
    http::HttpCall call;
    call.host = "127.0.0.1";
    call.port = http_ports_[node];
    call.path = path;
    call.body = body.dump();
    call.headers = std::move(headers);
    call.timeout = seconds(6);
    try {
      Json reply = Json::parse(http::Execute(call).body, nullptr, false);
      return reply.is_object() ? reply : Json::object();
    } catch (const http::HttpError&) {
      return Json::object();
    }
  }

  Json CallOperatorApi(size_t node,
                       const std::string& call,
                       const Json& body) const {
    return Post(node, "/v1/operator/" + call, body,
                {{"Authorization", std::string("Bearer ") + kToken}});
  }

  Json Submit(size_t node,
              const std::string& id,
              uint64_t expected_version,
              const std::string& service) const {
    return CallOperatorApi(
        node, "SubmitCommand",
        {{"command_id", id},
         {"expected_version", expected_version},
         {"put_service",
          {{"name", service},
           {"layouts", {{{"version", 1}, {"shards", {"s0"}}}}}}}});
  }

  bool Accept(size_t node,
              const std::string& id,
              uint64_t expected_version,
              const std::string& service) const {
    return WaitFor([&] {
      return Submit(node, id, expected_version, service).value("status", "") ==
             "ACCEPTED";
    });
  }

  uint64_t Version(size_t node) const {
    const Json reply = CallOperatorApi(node, "GetStatus", Json::object());
    return std::stoull(reply.value("catalog_version", "0"));
  }

  std::string Query(size_t node,
                    std::map<std::string, std::string> headers) const {
    headers["Gbr-Deadline-Ms"] = "500";
    headers["Gbr-Rank"] = "urgent";
    return Post(node, "/v1/query/chairs", {{"text", "chair"}}, headers)
        .value("status", "");
  }

  std::string SendSearch(size_t node) const {
    return Query(node, {{"Gbr-Request-Id", "1"}, {"Gbr-Idempotent", "true"}});
  }

  std::string SendNonIdempotentQuery(size_t node,
                                     const std::string& first_send) const {
    const auto ms = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return Query(node, {{"Gbr-Request-Id", std::to_string(ms.count()) + "-x"},
                        {"Gbr-Idempotent", "false"},
                        {"Gbr-Routing-Key", "chair-1"},
                        {"Gbr-First-Send", first_send}});
  }

  const std::string folder_ =
      testing::TempDir() + "gbr-partition-test-" + std::to_string(::getpid());
  std::array<uint16_t, kNodes> http_ports_{};
  std::array<uint16_t, kNodes> peer_ports_{};
  std::array<std::unique_ptr<Node>, kNodes> nodes_;
  std::array<std::unique_ptr<Backend>, kNodes> backends_;
};

// An isolated failure domain must keep serving searches, must not accept
// commands or bookings that it cannot replicate, and must not revert to an
// older catalog after the partition heals.
TEST_F(PartitionTest, IsolatedNodeServesAndConverges) {
  SetPartitioned(true);
  EXPECT_TRUE(Accept(0, "during", 1, "tills"));
  EXPECT_EQ(SendSearch(kIsolated), "complete");
  EXPECT_EQ(SendNonIdempotentQuery(kIsolated, "true"), "not_run");
  EXPECT_EQ(SendNonIdempotentQuery(kIsolated, "false"), "outcome_unknown");
  EXPECT_THAT(Submit(kIsolated, "minority", 1, "gears").value("status", ""),
              testing::AnyOf("NOT_RUN", "OUTCOME_UNKNOWN"));
  const Json read =
      CallOperatorApi(kIsolated, "GetCatalog", {{"current", true}});
  EXPECT_FALSE(read.value("current", true));
  EXPECT_EQ(Version(kIsolated), 1U);
  SetPartitioned(false);
  EXPECT_TRUE(WaitFor([&] { return Version(kIsolated) == 2; }, seconds(2)));
  // The command submitted to the minority must not have taken the version.
  EXPECT_EQ(Submit(0, "minority", 1, "gears").value("status", ""), "CONFLICT");
}

// A node that receives but cannot send must not prevent the others from
// changing the configuration.
TEST_F(PartitionTest, OneWayPartitionDoesNotBlockMajority) {
  SetPartitioned(true, /*one_way=*/true);
  EXPECT_TRUE(Accept(0, "during", 1, "tills"));
  EXPECT_EQ(SendSearch(kIsolated), "complete");
  SetPartitioned(false);
  EXPECT_TRUE(WaitFor([&] { return Version(kIsolated) == 2; }, seconds(2)));
  EXPECT_EQ(SendNonIdempotentQuery(kIsolated, "true"), "complete");
}

// While a partition opens and heals repeatedly, the catalog version must not
// decrease and no accepted change may be lost.
TEST_F(PartitionTest, FlappingPartitionNeverReverts) {
  uint64_t highest = 1;
  for (uint64_t round = 1; round <= 6; ++round) {
    SetPartitioned(true);
    EXPECT_TRUE(Accept(0, "r" + std::to_string(round), round, "tills"));
    SetPartitioned(false);
    const uint64_t version = Version(kIsolated);
    EXPECT_GE(version, highest);
    highest = version;
    EXPECT_EQ(SendSearch(kIsolated), "complete");
  }
  EXPECT_TRUE(WaitFor([&] { return Version(kIsolated) == 7; }, seconds(2)));
}

}  // namespace
}  // namespace gooseberryrock::node
