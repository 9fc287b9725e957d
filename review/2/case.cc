// Two entry nodes that gather for a third one are stopped and started in turn
// under load.

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

constexpr int kShards = 10;
constexpr int kBookServers = 3;
// Servers of shards accept fewer connections than two for each entry node, so
// that some entry nodes gather for all.
constexpr int kShardConnections = 5;
constexpr int kBookConnections = 96;
constexpr milliseconds kShardWork{60};
constexpr milliseconds kBookWork{120};
constexpr int kSearchCallers = 45;
constexpr int kBookCallers = 12;
// Time between two requests of a caller.
constexpr milliseconds kSearchPause{800};
constexpr milliseconds kBookPause{10};
constexpr milliseconds kDeadline{4000};
// The rule allows this many.
constexpr size_t kAllowedCut = 3;
// gap_s of roll_term.
constexpr milliseconds kGap{1300};

std::string MakeConfig() {
  std::string shards;
  std::string services;
  for (int i = 0; i < kShards; ++i) {
    const std::string name = "chair" + std::to_string(i);
    shards += (i == 0 ? "\"" : ",\"") + name + "\"";
    services += R"({"name":")" + name + R"(","max_connections":)" +
                std::to_string(kShardConnections) +
                R"(,"health_check_path":"/health","protocol":"h1",)" +
                R"("tls":false},)";
  }
  services += R"({"name":"book","max_connections":)" +
              std::to_string(kBookConnections) +
              R"(,"health_check_path":"/health","protocol":"h1","tls":false})";
  const std::string common = R"("hostname":"salon.example",)"
                             R"("route_type":"idempotent","attempts":2,)";
  return R"({"version":1,"routes":[{"name":"search",)" + common +
         R"("path_prefix":"/search/","timeout_ms":1200,)"
         R"("target_latency_ms":200,"priority":0,"shard_services":[)" +
         shards + R"(],"top_k":5,"min_coverage":0.89},{"name":"book",)" +
         common +
         R"("path_prefix":"/book/","timeout_ms":4000,)"
         R"("target_latency_ms":1000,"priority":1,"service":"book"}],)"
         R"("services":[)" +
         services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

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
  std::atomic<size_t> answered = 0;
  std::atomic<size_t> succeeded = 0;
  // Requests of kept connections that a server ran and whose connection was
  // closed without an answer.
  std::atomic<size_t> cut = 0;
};

void Call(const Address& entry,
          const std::string& path,
          milliseconds pause,
          RunRequests& run,
          Record& record,
          Tally& tally,
          const std::atomic<bool>& stopping) {
  Connection connection(entry);
  while (!stopping) {
    Request request;
    request.target = path + NewRequestId();
    const std::string id = NewRequestId();
    request.fields = {{"host", "salon.example"},
                      {"x-request-id", id},
                      {"x-deadline-ms", std::to_string(kDeadline.count())}};
    const bool kept = connection.IsOpen();
    record.Write("sent", "request=" + id + " " + request.target);
    const auto response =
        connection.Call(request, kDeadline + milliseconds(500));
    if (response) {
      ++tally.answered;
      tally.succeeded += response->status == 200 ? 1 : 0;
      record.Write("answered", "request=" + id + " status=" +
                                   std::to_string(response->status));
      std::this_thread::sleep_for(pause);
      continue;
    }
    const bool cut = connection.ended() && kept && run.Contains(id);
    tally.cut += cut ? 1 : 0;
    record.Write(connection.ended() ? "connection_ended" : "no_answer",
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
  for (int i = 0; i < kShards; ++i) {
    // Each zone holds the servers of half of the shards.
    const char* const zone = i < kShards / 2 ? "a" : "b";
    for (const char* copy : {"x", "y"}) {
      servers.push_back(std::make_unique<Backend>(
          BackendOptions{"chair" + std::to_string(i), zone, 4},
          "i-chair" + std::to_string(i) + copy, tier.ControlAddresses(), record,
          [&](const Request& request) {
            run.Add(request);
            std::this_thread::sleep_for(kShardWork);
            return Response{200, {}, std::string(16, 'r')};
          }));
    }
  }
  for (int i = 0; i < kBookServers; ++i) {
    servers.push_back(std::make_unique<Backend>(
        BackendOptions{"book", std::string(1, static_cast<char>('a' + i)), 6},
        "i-book" + std::to_string(i), tier.ControlAddresses(), record,
        [&](const Request& request) {
          run.Add(request);
          std::this_thread::sleep_for(kBookWork);
          return Response{200, {}, "booked"};
        }));
  }
  if (!tier.PutConfig(MakeConfig()) ||
      !tier.WaitUntilReady(std::chrono::seconds(20))) {
    std::cerr << "the deployment did not start\n";
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));

  Tally tally;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  callers.reserve(kSearchCallers + kBookCallers);
  for (int i = 0; i < kSearchCallers + kBookCallers; ++i) {
    callers.emplace_back([&, i] {
      const bool searches = i < kSearchCallers;
      Call(tier.EntryAddress(2), searches ? "/search/" : "/book/",
           searches ? kSearchPause : kBookPause, run, record, tally, stopping);
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const size_t before = tally.succeeded;
  if (trouble) {
    record.Write("sigterm", "entry-1");
    tier.Entry(1).Signal(SIGTERM);
    std::this_thread::sleep_for(kGap);
    record.Write("sigterm", "entry-0");
    tier.Entry(0).Signal(SIGTERM);
  } else {
    std::this_thread::sleep_for(kGap);
  }
  const auto end = Clock::now() + std::chrono::seconds(8);
  std::set<size_t> restarted;
  while (Clock::now() < end) {
    for (size_t i = 0; i < 2; ++i) {
      if (tier.Entry(i).Ended() && restarted.insert(i).second) {
        tier.RestartEntry(i);
      }
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  const auto status = tier.Entry(2).Ended();
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const std::string result =
      "served_before=" + std::to_string(before) +
      " answered=" + std::to_string(tally.answered) +
      " cut=" + std::to_string(tally.cut) + " entry-2=" +
      (status ? "ended with wait status " + std::to_string(*status) : "runs");
  record.Write("result", result);
  std::cout << result << "\n";
  if (before == 0) {
    return kCouldNotRun;
  }
  return tally.cut > kAllowedCut ? kRuleBroken : kRuleHeld;
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
