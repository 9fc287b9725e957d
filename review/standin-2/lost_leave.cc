// Case: a searcher that never reports `draining` deregisters first and serves
// on. Right after the confirmation all control processes are killed; they are
// back within a second. No request may reach the searcher later than drain_ms
// after the confirmation from entry VMs that are in touch.
//
// Usage: lost_leave PROGRAM FOLDER RECORD. TROUBLE=0 leaves the kill out,
// KILL_AFTER_MS sets the time between the confirmation and the kill.
// Exit code: 1 if a request was late, 0 if none was, 2 if the case cannot run.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "config.h"
#include "http.h"
#include "record.h"
#include "searcher.h"
#include "tier.h"

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;

constexpr size_t kControls = 3;
constexpr size_t kEntries = 6;
constexpr size_t kSearchers = 12;
constexpr size_t kBusyClients = 10;

// contact_ms and drain_ms of the small sites.
constexpr milliseconds kContactTime(4000);
constexpr milliseconds kDrainTime(3000);

// Down time of the control processes; the pages allow up to a second.
constexpr milliseconds kDownTime(500);

// Time that the searcher serves on after the confirmation. The pages name
// drain_ms and a little longer, at times many seconds.
constexpr milliseconds kServesOn(10000);

// Pauses of a client between two requests. One client an entry VM sends at
// first; the others join when the VMs are in touch again.
constexpr milliseconds kQuietPause(1500);
constexpr milliseconds kBusyPause(20);

long ReadNumber(const char* name, long otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtol(text, nullptr, 10);
}

// Sends a request at a time to one entry VM.
void SendRequests(const Tier& tier,
                  const Node& entry,
                  const std::string& client,
                  milliseconds pause,
                  const std::atomic<bool>& is_stopping,
                  Record& record) {
  for (int i = 0; !is_stopping; ++i) {
    const std::string id = entry.name + "-" + client + "-" + std::to_string(i);
    Write(record, "client: sends " + id + " to " + entry.name);
    const HttpMessage answer =
        Call(CallerAddress(tier, entry), "GET", "/chairs/" + std::to_string(i),
             {{"Host", "search.example"},
              {"X-Request-Id", id},
              {"X-Deadline-Ms", "2000"}},
             "", milliseconds(2000));
    Write(record, "client: " + id + ": status " +
                      std::to_string(StatusOf(answer)) + ", stamp " +
                      FindHeader(answer, "X-Server-Stamp"));
    std::this_thread::sleep_for(pause);
  }
}

bool WaitForBeats(const std::vector<std::unique_ptr<Searcher>>& searchers) {
  for (int i = 0; i < 100; ++i) {
    if (std::all_of(searchers.begin(), searchers.end(),
                    [](const auto& it) { return it->confirmed_beats >= 2; })) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

// The searcher that has run the fewest requests.
Searcher& LeastUsed(const std::vector<std::unique_ptr<Searcher>>& searchers) {
  return **std::min_element(searchers.begin(), searchers.end(),
                            [](const auto& a, const auto& b) {
                              return RunsOf(*a).size() < RunsOf(*b).size();
                            });
}

int RunPlannedCase(Tier& tier,
                   std::vector<std::unique_ptr<Searcher>>& searchers,
                   Record& record) {
  const bool with_trouble = ReadNumber("TROUBLE", 1) != 0;
  const milliseconds kill_after(ReadNumber("KILL_AFTER_MS", 30));
  for (auto* nodes : {&tier.controls, &tier.entries}) {
    for (Node& it : *nodes) {
      if (!StartNode(tier, it, /*first_start=*/true, record)) {
        return 2;
      }
    }
  }
  for (size_t i = 0; i < kSearchers; ++i) {
    const Node& node = tier.controls[i % kControls];
    searchers.push_back(StartSearcher(
        tier, record, "i-" + std::to_string(i + 1), "chairs", node.zone,
        {tier.prefix + "." + std::to_string(100 + i), tier.control_port}));
    if (searchers.back() == nullptr) {
      return 2;
    }
  }
  if (SendOrder(tier, "/v1/config/replace", MakeConfig(7), milliseconds(20000),
                record) < 0 ||
      !WaitForBeats(searchers)) {
    return 2;
  }
  // All VMs have been in touch for the contact time when traffic starts.
  std::this_thread::sleep_for(kContactTime + milliseconds(1000));

  std::atomic<bool> is_stopping = false;
  std::vector<std::thread> clients;
  for (const Node& it : tier.entries) {
    clients.emplace_back([&] {
      SendRequests(tier, it, "quiet", kQuietPause, is_stopping, record);
    });
  }
  std::this_thread::sleep_for(milliseconds(6000));

  Searcher& leaving = LeastUsed(searchers);
  const bool is_confirmed = Leave(leaving, tier.controls[0]);
  const milliseconds confirmed_at = SinceStart(record);
  milliseconds calm_from = confirmed_at;
  if (is_confirmed && with_trouble) {
    std::this_thread::sleep_for(kill_after);
    for (Node& it : tier.controls) {
      KillNode(it, record);
    }
    std::this_thread::sleep_for(kDownTime);
    for (Node& it : tier.controls) {
      StartNode(tier, it, /*first_start=*/false, record);
    }
    calm_from = SinceStart(record) + kContactTime;
  }
  std::this_thread::sleep_until(record.begin +
                                std::max(calm_from, confirmed_at + kDrainTime) +
                                milliseconds(500));
  for (const Node& it : tier.entries) {
    for (size_t n = 0; n < kBusyClients; ++n) {
      clients.emplace_back([&, n] {
        SendRequests(tier, it, "busy" + std::to_string(n), kBusyPause,
                     is_stopping, record);
      });
    }
  }
  std::this_thread::sleep_until(record.begin + confirmed_at + kServesOn);
  is_stopping = true;
  for (std::thread& it : clients) {
    it.join();
  }
  if (!is_confirmed) {
    return 2;
  }

  int late = 0;
  for (const Run& it : RunsOf(leaving)) {
    if (it.at <= confirmed_at + kDrainTime) {
      continue;
    }
    const bool is_judged = it.at > calm_from;
    late += is_judged ? 1 : 0;
    Write(record, it.request + " reached " + it.searcher + " " +
                      std::to_string((it.at - confirmed_at).count()) +
                      " ms after the confirmation" +
                      (is_judged ? "" : " (not judged: the core is unstable)"));
  }
  Write(record, std::to_string(late) + " late requests");
  return late > 0 ? 1 : 0;
}

int RunCase(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: lost_leave PROGRAM FOLDER RECORD\n");
    return 2;
  }
  Record record;
  OpenRecord(record, argv[3]);
  Tier tier;
  if (!PlanTier(tier, argv[1], argv[2], kControls, kEntries)) {
    Write(record, "no free ports");
    return 2;
  }
  std::vector<std::unique_ptr<Searcher>> searchers;
  const int code = RunPlannedCase(tier, searchers, record);
  StopTier(tier, record);
  for (const auto& it : searchers) {
    if (it != nullptr) {
      StopSearcher(*it);
    }
  }
  Write(record, "exit code " + std::to_string(code));
  CloseRecord(record);
  return code;
}

}  // namespace

}  // namespace gooseberryrock::review

int main(int argc, char** argv) {
  return gooseberryrock::review::RunCase(argc, argv);
}
