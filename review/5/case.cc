// An operator sends a config whose list of routes cannot be read.

#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../standin/http.h"
#include "../standin/tier.h"

namespace gooseberryrock::review {
namespace {

using std::chrono::milliseconds;

constexpr int kServers = 3;
constexpr unsigned kSlots = 6;
constexpr milliseconds kWork{20};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kControlTimeout{1000};
constexpr size_t kEntries = 3;
constexpr int kRequestsPerEntry = 20;
// config_apply_ms and a second.
constexpr milliseconds kApplyTime{4000};

constexpr char kRoutes[] =
    R"([{"name":"book","hostname":"salon.example","path_prefix":"/book/",)"
    R"("route_type":"idempotent","timeout_ms":2000,"target_latency_ms":200,)"
    R"("priority":1,"service":"book","attempts":2}])";

std::string MakeConfig(int version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":)" + routes +
         R"(,"services":[{"name":"book","max_connections":96,)"
         R"("health_check_path":"/health","protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// Sends the config once to each control VM in turn until one answers; returns
// the status.
int SendConfig(const Tier& tier, const std::string& config, Record& record) {
  for (int i = 0; i < 30; ++i) {
    for (const Address& control : tier.ControlAddresses()) {
      Request request;
      request.method = "POST";
      request.target = "/v1/config/replace";
      request.fields = {{"host", control.host},
                        {"content-type", "application/json"}};
      request.body = config;
      Connection connection(control);
      const auto response = connection.Call(request, kControlTimeout);
      if (response && response->status < 500) {
        record.Write("config_answered",
                     "status=" + std::to_string(response->status));
        return response->status;
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return 0;
}

// Returns how many of the requests were answered 404.
size_t CountNotFound(const Tier& tier, Record& record) {
  size_t not_found = 0;
  for (size_t i = 0; i < kEntries; ++i) {
    Connection connection(tier.EntryAddress(i));
    for (int n = 0; n < kRequestsPerEntry; ++n) {
      Request request;
      const std::string id = NewRequestId();
      request.target = "/book/" + id;
      request.fields = {{"host", "salon.example"},
                        {"x-request-id", id},
                        {"x-deadline-ms", std::to_string(kDeadline.count())}};
      record.Write("sent", "request=" + id);
      const auto response = connection.Call(request, kDeadline);
      record.Write("answered",
                   "request=" + id + " status=" +
                       (response ? std::to_string(response->status) : "none"));
      not_found += response && response->status == 404 ? 1 : 0;
    }
  }
  return not_found;
}

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record_path) {
  const bool trouble = Environment("TROUBLE", "1") != "0";
  Record record(record_path);
  Tier tier({program, folder, {"a", "b", "c"}, {"a", "b", "c"}}, record);
  tier.Start();
  std::vector<std::unique_ptr<Backend>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Backend>(
        BackendOptions{"book", std::string(1, static_cast<char>('a' + i)),
                       kSlots},
        "i-book" + std::to_string(i), tier.ControlAddresses(), record,
        [](const Request&) {
          std::this_thread::sleep_for(kWork);
          return Response{200, {}, "booked"};
        }));
  }
  if (!tier.PutConfig(MakeConfig(1, kRoutes)) ||
      !tier.WaitUntilReady(std::chrono::seconds(20))) {
    std::cerr << "the deployment did not start\n";
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const size_t before = CountNotFound(tier, record);

  const int status =
      SendConfig(tier, MakeConfig(2, trouble ? "null" : kRoutes), record);
  std::this_thread::sleep_for(kApplyTime);
  const size_t after = CountNotFound(tier, record);

  const std::string result =
      "status_of_config=" + std::to_string(status) +
      " not_found_before=" + std::to_string(before) +
      " not_found_after=" + std::to_string(after) +
      " of=" + std::to_string(kEntries * kRequestsPerEntry);
  record.Write("result", result);
  std::cout << result << "\n";
  if (status == 0 || before > 0) {
    return kCouldNotRun;
  }
  if (!trouble) {
    return status == 200 && after == 0 ? kRuleHeld : kRuleBroken;
  }
  return status == 200 || after > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace gooseberryrock::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
    return gooseberryrock::review::kCouldNotRun;
  }
  return gooseberryrock::review::Main(argv[1], argv[2], argv[3]);
}
