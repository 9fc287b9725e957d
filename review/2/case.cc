// The settings of an entry node change while it is being stopped.

#include <signal.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
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
constexpr milliseconds kDeadline{5000};
constexpr int kCallers = 12;
// Between SIGTERM and SIGHUP; the stop may take grace_s, 6 s.
constexpr milliseconds kChangeAfter{1000};

constexpr char kConfig[] =
    R"({"version":1,"routes":[{"name":"book","hostname":"salon.example",)"
    R"("path_prefix":"/book/","route_type":"non_idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"priority":1,)"
    R"("service":"book","attempts":2}],"services":[{"name":"book",)"
    R"("max_connections":96,"health_check_path":"/health",)"
    R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";

// Requests that a server began to run.
class RunRequests {
 public:
  void Add(const Request& request) {
    std::lock_guard lock(mutex_);
    ids_.insert(request.fields.at("x-request-id"));
  }
  bool Contains(const std::string& id) {
    std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

struct Tally {
  std::atomic<size_t> served = 0;
  // Requests that a server ran and whose connection ended without an answer.
  std::atomic<size_t> cut = 0;
};

// Sends requests on one connection after another until the entry node refuses
// new ones.
void Call(const Address& entry,
          RunRequests& run,
          Record& record,
          Tally& tally,
          const std::atomic<bool>& stopping) {
  Connection connection(entry);
  while (!stopping) {
    Request request;
    const std::string id = NewRequestId();
    request.method = "POST";
    request.target = "/book/" + id;
    request.body = "chair 4";
    request.fields = {{"host", "salon.example"},
                      {"x-request-id", id},
                      {"x-deadline-ms", std::to_string(kDeadline.count())}};
    record.Write("sent", "request=" + id);
    const auto response =
        connection.Call(request, kDeadline + milliseconds(500));
    if (response) {
      tally.served += response->status == 200 ? 1 : 0;
      record.Write("answered", "request=" + id + " status=" +
                                   std::to_string(response->status));
      continue;
    }
    const bool cut = connection.ended() && run.Contains(id);
    tally.cut += cut ? 1 : 0;
    record.Write(connection.ended() ? "connection_ended" : "no_connection",
                 "request=" + id + (cut ? " it was run" : ""));
    std::this_thread::sleep_for(milliseconds(50));
  }
}

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record_path) {
  const bool trouble = Environment("TROUBLE", "1") != "0";
  Record record(record_path);
  Tier tier({program, folder, {"a", "b", "c"}, {"a", "b", "c"}}, record);
  tier.Start();
  RunRequests run;
  std::vector<std::unique_ptr<Backend>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Backend>(
        BackendOptions{"book", std::string(1, static_cast<char>('a' + i % 3)),
                       kSlots},
        "i-book" + std::to_string(i), tier.ControlAddresses(), record,
        [&](const Request& request) {
          run.Add(request);
          std::this_thread::sleep_for(kWork);
          return Response{200, {}, "booked"};
        }));
  }
  if (!tier.PutConfig(kConfig) ||
      !tier.WaitUntilReady(std::chrono::seconds(20))) {
    std::cerr << "the deployment did not start\n";
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));

  Tally tally;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&] { Call(tier.EntryAddress(0), run, record, tally, stopping); });
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const size_t before = tally.served;
  // The planned stop is part of the case without the disruption as well.
  record.Write("sigterm", "entry-0");
  tier.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(kChangeAfter);
  if (trouble) {
    record.Write("sighup", "entry-0");
    tier.Entry(0).Signal(SIGHUP);
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const auto status = tier.Entry(0).Ended();
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const std::string result =
      "served_before=" + std::to_string(before) +
      " served=" + std::to_string(tally.served) +
      " cut=" + std::to_string(tally.cut) +
      " wait_status=" + (status ? std::to_string(*status) : "runs");
  record.Write("result", result);
  std::cout << result << "\n";
  if (before == 0) {
    return kCouldNotRun;
  }
  return tally.cut > 0 ? kRuleBroken : kRuleHeld;
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
