// Tests entry nodes of which one gathers for the others, as processes.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Servers of which each accepts fewer connections than two for each entry node,
// all in the failure domain of the first one, which therefore gathers for both.
class GatherTierTest : public testing::Test {
 protected:
  GatherTierTest()
      : cluster_(
            testing::TempDir() + "tier-" +
                testing::UnitTest::GetInstance()->current_test_info()->name(),
            {/*connection_limit=*/3, /*servers_in_first_domain=*/true}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
    ASSERT_TRUE(WaitForPassingOn());
  }

  double Counter(size_t entry, const std::string& name) {
    return MetricValue(cluster_.EntryMetrics(entry), name).value_or(0);
  }

  // The node has to learn first which other entry nodes there are.
  bool WaitForPassingOn() {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (std::chrono::steady_clock::now() < end) {
      cluster_.SendRequest(1, "GET", "/all/x");
      if (Counter(0, "gbr_gathered_for_others_total") > 0) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  // Sends `n` requests to the second node. Returns how many were complete.
  int CountComplete(int n) {
    int complete = 0;
    for (int i = 0; i < n; ++i) {
      const auto reply = cluster_.SendRequest(1, "GET", "/all/x");
      complete += reply && reply->result() == http::status::ok &&
                          (*reply)["X-Missing-Parts"] == "0"
                      ? 1
                      : 0;
    }
    return complete;
  }

  TierCluster cluster_;
};

// Guards against answers that change on their way through a gathering node, and
// against fields between nodes that reach a caller.
TEST_F(GatherTierTest, AnswersAreTheSame) {
  const auto own = cluster_.SendRequest(0, "GET", "/all/x");
  const auto passed_on = cluster_.SendRequest(1, "GET", "/all/x");
  ASSERT_TRUE(own);
  ASSERT_TRUE(passed_on);
  EXPECT_EQ(passed_on->result(), http::status::ok);
  EXPECT_EQ(passed_on->body().size(), own->body().size());
  EXPECT_EQ((*passed_on)["X-Missing-Parts"], "0");
  for (const auto& field : *passed_on) {
    EXPECT_FALSE(field.name_string().starts_with("Gbr-"))
        << field.name_string();
  }
  EXPECT_EQ(Counter(1, "gbr_gathered_for_others_total"), 0);
  EXPECT_GT(Counter(1, "gbr_requests_passed_on_total"), 0);
  EXPECT_EQ(Counter(1, "gbr_gather_nodes"), 1);
}

// Guards against failed requests while a gathering node is stopped as planned.
TEST_F(GatherTierTest, StopOfTheGatheringNodeFailsNoRequest) {
  std::atomic<bool> stop = false;
  std::atomic<int> complete = 0;
  std::atomic<int> sent = 0;
  std::thread caller([&] {
    while (!stop) {
      ++sent;
      complete += CountComplete(1);
    }
  });
  std::this_thread::sleep_for(milliseconds(200));
  cluster_.Entry(0).Signal(SIGTERM);
  EXPECT_TRUE(cluster_.Entry(0).WaitForExit(seconds(6)));
  std::this_thread::sleep_for(milliseconds(300));
  stop = true;
  caller.join();
  EXPECT_EQ(complete, sent);
  EXPECT_GT(sent, 20);
}

// Guards against requests that wait for a gathering node which does not run: a
// killed one, and one that is frozen and keeps its connections open.
TEST_F(GatherTierTest, LostGatheringNodeIsReplaced) {
  cluster_.Entry(0).Signal(SIGSTOP);
  // The target latency is 200 ms, after which only the first request that met
  // the frozen node is answered.
  const int while_frozen = CountComplete(10);
  EXPECT_GE(while_frozen, 9);
  EXPECT_GT(Counter(1, "gbr_gather_nodes_unavailable_total"), 0);
  cluster_.Entry(0).Signal(SIGKILL);
  EXPECT_GE(CountComplete(10), 9);
}

}  // namespace
}  // namespace gooseberryrock::process_test
