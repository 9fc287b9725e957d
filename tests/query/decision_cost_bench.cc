// Measures processor time and allocations of the decision path per query, and
// its throughput with several threads that share no state, as query shards do.
// The results are input for the capacity page and have no bounds.

#include <gtest/gtest.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/query_machine.h"
#include "gooseberryrock/query/routing.h"
#include "gooseberryrock/query/server_stats.h"
#include "gooseberryrock/query/server_view.h"
#include "gooseberryrock/query/service_estimates.h"

namespace {

thread_local uint64_t allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace gooseberryrock::query {
namespace {

constexpr size_t kReplicas = 3;

// One query shard with its own servers.
class DecisionPath {
 public:
  explicit DecisionPath(size_t fan_out) : views_(fan_out * kReplicas) {
    plan_.snapshot = {1, 1};
    for (size_t i = 0; i < fan_out; ++i) {
      plan_.shards.push_back({"shard" + std::to_string(i)});
    }
    for (size_t i = 0; i < views_.size(); ++i) {
      views_[i].id.value = "server" + std::to_string(i);
    }
  }

  void RunQuery() {
    now_ += std::chrono::microseconds(100);
    QueryState state;
    state.request.deadline = now_ + std::chrono::milliseconds(200);
    state.plan = plan_;
    QueryEffects effects = StartQuery(state, ids_, budget_, now_);
    for (size_t i = 0; i < effects.send.size(); ++i) {
      Answer(state, effects.send[i], i);
    }
    EXPECT_TRUE(state.finished);
  }

 private:
  void Answer(QueryState& state, const AttemptToSend& attempt, size_t shard) {
    const std::span<ServerView> replicas(&views_[shard * kReplicas], kReplicas);
    const auto chosen =
        ChooseServer(replicas, attempt.excluded, {}, random_, now_);
    ServerView& server = replicas[*chosen];
    OnAttemptRouted(state, attempt.id, server.id, now_);
    RecordAttemptStart(server, now_);
    constexpr Duration kElapsed = std::chrono::milliseconds(10);
    RecordAttemptEnd(server, AttemptEnd::kAnswered, kElapsed, kElapsed, now_);
    RecordSubqueryTime(estimates_, Rank::kUrgent, kElapsed, now_);
    OnReply(state,
            {attempt.id, attempt.shard, attempt.snapshot, {}, true, true}, ids_,
            budget_, now_);
  }

  QueryPlan plan_;
  std::vector<ServerView> views_;
  ServiceEstimates estimates_;
  AttemptIdSource ids_;
  AttemptBudget budget_;
  std::mt19937_64 random_{1};
  SteadyTime now_{std::chrono::seconds(1000)};
};

// Shows whether the cost of the decision path grows faster than the fan-out.
TEST(DecisionCostBench, TimeAndAllocationsPerQuery) {
  for (const size_t fan_out : {10, 40, 100, 410}) {
    DecisionPath path(fan_out);
    path.RunQuery();
    const size_t queries = 400'000 / fan_out;
    const uint64_t before = allocations;
    const std::clock_t begun = std::clock();
    for (size_t i = 0; i < queries; ++i) {
      path.RunQuery();
    }
    const double seconds =
        static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
    const auto n = static_cast<double>(queries);
    std::printf("decision.cpu.fan_out_%zu %.4g us - -\n", fan_out,
                seconds / n * 1e6);
    std::printf("decision.allocations.fan_out_%zu %.4g allocations - -\n",
                fan_out, static_cast<double>(allocations - before) / n);
  }
}

TEST(DecisionCostBench, ThroughputByThreads) {
  constexpr size_t kFanOut = 40;
  constexpr size_t kQueries = 20'000;
  for (const size_t threads : {1, 2, 4, 8}) {
    std::vector<std::thread> running;
    const auto begun = std::chrono::steady_clock::now();
    for (size_t i = 0; i < threads; ++i) {
      running.emplace_back([] {
        DecisionPath path(kFanOut);
        for (size_t n = 0; n < kQueries; ++n) {
          path.RunQuery();
        }
      });
    }
    for (std::thread& it : running) {
      it.join();
    }
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - begun;
    std::printf("decision.throughput.threads_%zu %.4g queries/s - -\n", threads,
                static_cast<double>(threads * kQueries) / taken.count());
  }
}

}  // namespace
}  // namespace gooseberryrock::query
