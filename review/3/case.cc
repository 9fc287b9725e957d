// A backend server fails part of the requests that it has run, with status 503,
// and its health is good.

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
constexpr milliseconds kDeadline{5000};
constexpr int kCallers = 36;
constexpr std::chrono::seconds kLength{30};
constexpr size_t kEntries = 3;
// `srv_grey`: one of seven servers fails four of ten requests.
constexpr int kGreyServer = 3;
constexpr size_t kFailedOfTen = 4;

constexpr char kConfig[] =
    R"({"version":1,"routes":[{"name":"book","hostname":"salon.example",)"
    R"("path_prefix":"/book/","route_type":"non_idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"priority":1,)"
    R"("service":"book","attempts":2}],"services":[{"name":"book",)"
    R"("max_connections":96,"health_check_path":"/health",)"
    R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";

// The requests and bookings that servers ran.
class Runs {
 public:
  void Add(const Request& request) {
    std::lock_guard lock(mutex_);
    ids_.insert(request.fields.at("x-request-id"));
    twice_ += bookings_.insert(request.target).second ? 0 : 1;
  }
  bool Contains(const std::string& id) {
    std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }
  // Bookings that ran again.
  size_t twice() {
    std::lock_guard lock(mutex_);
    return twice_;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
  std::set<std::string> bookings_;
  size_t twice_ = 0;
};

struct Tally {
  std::atomic<size_t> served = 0;
  // Requests that were answered as not run, but had run.
  std::atomic<size_t> false_refusals = 0;
};

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Sends one booking, and once more after a promise that it has not run.
void Book(Connection& connection, Runs& runs, Record& record, Tally& tally) {
  const std::string target = "/book/" + NewRequestId();
  for (int attempt = 0; attempt < 2; ++attempt) {
    Request request;
    request.method = "POST";
    request.target = target;
    request.body = "chair 4";
    const std::string id = NewRequestId();
    request.fields = {{"host", "salon.example"},
                      {"x-request-id", id},
                      {"x-deadline-ms", std::to_string(kDeadline.count())}};
    record.Write("sent",
                 std::string("request=").append(id).append(" ").append(target));
    const auto response =
        connection.Call(request, kDeadline + milliseconds(500));
    const bool refused = response && PromisesNotRun(response->status);
    const bool is_false = refused && runs.Contains(id);
    tally.served += response && response->status == 200 ? 1 : 0;
    tally.false_refusals += is_false ? 1 : 0;
    record.Write("answered",
                 "request=" + id + " status=" +
                     (response ? std::to_string(response->status) : "none") +
                     (is_false ? " but it has run" : ""));
    if (!refused) {
      return;
    }
  }
}

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record_path) {
  const bool trouble = Environment("TROUBLE", "1") != "0";
  Record record(record_path);
  Tier tier({program, folder, {"a", "b", "c"}, {"a", "b", "c"}}, record);
  tier.Start();
  Runs runs;
  std::atomic<size_t> grey_requests = 0;
  std::vector<std::unique_ptr<Backend>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Backend>(
        BackendOptions{"book", std::string(1, static_cast<char>('a' + i % 3)),
                       kSlots},
        "i-book" + std::to_string(i), tier.ControlAddresses(), record,
        [&, i](const Request& request) {
          runs.Add(request);
          std::this_thread::sleep_for(kWork);
          if (trouble && i == kGreyServer &&
              grey_requests++ % 10 < kFailedOfTen) {
            return Response{503, {}, "the ledger is not available"};
          }
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
    callers.emplace_back([&, i] {
      Connection connection(tier.EntryAddress(i % kEntries));
      while (!stopping) {
        Book(connection, runs, record, tally);
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  std::this_thread::sleep_for(kLength);
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const std::string result =
      "served=" + std::to_string(tally.served) +
      " answered_as_not_run_but_run=" + std::to_string(tally.false_refusals) +
      " bookings_run_twice=" + std::to_string(runs.twice());
  record.Write("result", result);
  std::cout << result << "\n";
  if (tally.served == 0) {
    return kCouldNotRun;
  }
  return tally.false_refusals > 0 ? kRuleBroken : kRuleHeld;
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
