// Stand-in for a searcher as the users' pages describe it. Announces itself to
// the control VMs with heartbeats, runs requests, answers health checks,
// rejects requests for another searcher, and can leave by deregistering first
// and serving on for a while.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_2_SEARCHER_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_2_SEARCHER_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"
#include "tier.h"

namespace gooseberryrock::review {

// One request that a searcher began to work on.
struct Run {
  std::chrono::milliseconds at{0};
  std::string searcher;
  std::string request;
};

struct Searcher {
  std::string id;
  std::string service;
  std::string zone;
  Endpoint address;
  const Tier* tier = nullptr;
  Record* record = nullptr;
  // Unix time of the start in milliseconds.
  long long born = 0;

  std::atomic<bool> is_stopping{false};
  std::atomic<bool> is_leaving{false};
  std::atomic<int> confirmed_beats{0};

  std::mutex mutex;
  std::vector<Run> runs;
  std::set<int> connections;

  std::thread beats;
  std::thread acceptor;
  std::vector<std::thread> workers;
};

std::unique_ptr<Searcher> StartSearcher(const Tier& tier,
                                        Record& record,
                                        const std::string& id,
                                        const std::string& service,
                                        const std::string& zone,
                                        const Endpoint& address);

// Deregisters at the control VM with the given index. No heartbeat is sent from
// then on, and the searcher serves on. Returns true when that was confirmed.
bool Leave(Searcher& searcher, const Node& control);

void StopSearcher(Searcher& searcher);
std::vector<Run> RunsOf(Searcher& searcher);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_2_SEARCHER_H_
