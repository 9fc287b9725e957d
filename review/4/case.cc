// A request crashes each backend server that runs it, and its caller sends it
// again.

#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../standin/http.h"
#include "../standin/tier.h"

namespace gooseberryrock::review {
namespace {

using std::chrono::milliseconds;

constexpr int kServers = 7;
constexpr unsigned kSlots = 6;
constexpr milliseconds kWork{120};
constexpr milliseconds kDown{3000};
constexpr milliseconds kDeadline{5000};
constexpr milliseconds kContact{4000};
constexpr int kCallers = 24;
// The pause of the caller before it sends the request again.
constexpr milliseconds kAgain{1000};
constexpr std::chrono::seconds kLength{60};
constexpr size_t kEntries = 3;
// Limits of the rule.
constexpr size_t kCrashes = 3;
constexpr size_t kAllowedRetries = 3;
constexpr char kCrashingPath[] = "/book/9f31";

constexpr char kConfig[] =
    R"({"version":1,"routes":[{"name":"book","hostname":"salon.example",)"
    R"("path_prefix":"/book/","route_type":"idempotent","timeout_ms":5000,)"
    R"("target_latency_ms":1000,"priority":1,"service":"book",)"
    R"("attempts":2}],"services":[{"name":"book","max_connections":96,)"
    R"("health_check_path":"/health","protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// What the servers saw of the request that crashes them.
class Crashes {
 public:
  // Returns how many requests crashed a server before.
  size_t Add(const std::string& id) {
    std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    if (third_ && now > *third_ + kContact) {
      late_ids_.insert(id);
    }
    if (++count_ == kCrashes) {
      third_ = now;
    }
    return count_;
  }
  size_t count() {
    std::lock_guard lock(mutex_);
    return count_;
  }
  // Sent requests that reached a server later than the bound.
  size_t late_retries() {
    std::lock_guard lock(mutex_);
    return late_ids_.size();
  }

 private:
  std::mutex mutex_;
  size_t count_ = 0;
  std::optional<Clock::time_point> third_;
  std::set<std::string> late_ids_;
};

std::optional<Response> Send(Connection& connection,
                             const std::string& target,
                             Record& record) {
  Request request;
  request.target = target;
  const std::string id = NewRequestId();
  request.fields = {{"host", "salon.example"},
                    {"x-request-id", id},
                    {"x-deadline-ms", std::to_string(kDeadline.count())}};
  record.Write("sent", "request=" + id + " " + target);
  auto response = connection.Call(request, kDeadline + milliseconds(500));
  record.Write("answered",
               "request=" + id + " status=" +
                   (response ? std::to_string(response->status) : "none"));
  return response;
}

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record_path) {
  const bool trouble = Environment("TROUBLE", "1") != "0";
  Record record(record_path);
  Tier tier({program, folder, {"a", "b", "c"}, {"a", "b", "c"}}, record);
  tier.Start();
  Crashes crashes;
  std::vector<std::unique_ptr<Backend>> servers(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers[i] = std::make_unique<Backend>(
        BackendOptions{"book", std::string(1, static_cast<char>('a' + i % 3)),
                       kSlots},
        "i-book" + std::to_string(i), tier.ControlAddresses(), record,
        [&, i](const Request& request) -> std::optional<Response> {
          if (trouble && request.target == kCrashingPath) {
            crashes.Add(request.fields.at("x-request-id"));
            servers[i]->CrashFor(kDown);
            return std::nullopt;
          }
          std::this_thread::sleep_for(kWork);
          return Response{200, {}, "booked"};
        });
  }
  if (!tier.PutConfig(kConfig) ||
      !tier.WaitUntilReady(std::chrono::seconds(20))) {
    std::cerr << "the deployment did not start\n";
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));

  std::atomic<bool> stopping = false;
  std::atomic<size_t> served = 0;
  std::atomic<size_t> failed = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      Connection connection(tier.EntryAddress(i % kEntries));
      while (!stopping) {
        const auto response =
            Send(connection, "/book/" + NewRequestId(), record);
        ++(response && response->status == 200 ? served : failed);
        std::this_thread::sleep_for(milliseconds(200));
      }
    });
  }
  const auto end = Clock::now() + kLength;
  for (size_t i = 0; Clock::now() < end; ++i) {
    Connection connection(tier.EntryAddress(i % kEntries));
    Send(connection, kCrashingPath, record);
    std::this_thread::sleep_for(kAgain);
  }
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const std::string result =
      "crashes=" + std::to_string(crashes.count()) +
      " retries_after_the_bound=" + std::to_string(crashes.late_retries()) +
      " others_served=" + std::to_string(served) +
      " others_failed=" + std::to_string(failed);
  record.Write("result", result);
  std::cout << result << "\n";
  if (served == 0) {
    return kCouldNotRun;
  }
  return crashes.late_retries() > kAllowedRetries ? kRuleBroken : kRuleHeld;
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
