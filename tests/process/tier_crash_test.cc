// Tests requests that crash the servers that run them, with control VMs and
// entry nodes as processes.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time in which all nodes must know of a crash, and the retries that may reach
// servers later than that after the third crash (rule BUDGET of the platform).
constexpr Duration kContactTime = seconds(4);
constexpr size_t kMaxLateRetries = 3;

class TierCrashTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  // Sends a request that crashes servers to the nodes in turn.
  void SendCrashing(const std::string& method, const std::string& target) {
    cluster_.CrashOn(target);
    const auto end = std::chrono::steady_clock::now() + seconds(14);
    for (size_t n = 0; std::chrono::steady_clock::now() < end; ++n) {
      const auto reply =
          cluster_.SendRequest(n % kEntryNodes, method, target, seconds(3));
      EXPECT_TRUE(!reply || reply->result() != http::status::ok);
      std::this_thread::sleep_for(milliseconds(300));
    }
  }

  // Returns how many requests crashed a server later than the bound.
  size_t CountLateRetries() {
    const auto crashes = cluster_.Crashes();
    std::set<std::string> late;
    for (size_t i = 3; i < crashes.size(); ++i) {
      if (crashes[i].at > crashes[2].at + kContactTime) {
        late.insert(crashes[i].request_id);
      }
    }
    return late.size();
  }

  double CountRefused() {
    double n = 0;
    for (size_t i = 0; i < kEntryNodes; ++i) {
      n += MetricValue(cluster_.EntryMetrics(i),
                       "gbr_crashing_requests_refused_total")
               .value_or(0);
    }
    return n;
  }

  TierCluster cluster_{
      testing::TempDir() + "tier-crash-" +
      testing::UnitTest::GetInstance()->current_test_info()->name()};
};

// Guards against a request that crashes each server that runs it and goes on
// reaching them, through one entry node after another, and against refusing
// the requests that run beside it.
TEST_F(TierCrashTest, CrashingRequestIsRefusedByAllNodes) {
  std::atomic<bool> stop = false;
  std::thread caller([&] {
    for (size_t n = 0; !stop; ++n) {
      cluster_.SendRequest(n % kEntryNodes, "POST", "/one/x");
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  SendCrashing("POST", "/one/crash");
  stop = true;
  caller.join();
  EXPECT_GE(cluster_.Crashes().size(), 3U);
  EXPECT_LE(CountLateRetries(), kMaxLateRetries);
  EXPECT_GT(CountRefused(), 0);
  for (size_t i = 0; i < kEntryNodes; ++i) {
    const auto beside = cluster_.SendRequest(i, "POST", "/one/x");
    ASSERT_TRUE(beside);
    EXPECT_EQ(beside->result(), http::status::ok);
    const auto crashing = cluster_.SendRequest(i, "POST", "/one/crash");
    ASSERT_TRUE(crashing);
    EXPECT_EQ(crashing->result(), http::status::service_unavailable);
    EXPECT_NE((*crashing)[http::field::retry_after], "");
  }
}

// The same for a gathered request, which crashes a server of each shard.
TEST_F(TierCrashTest, CrashingGatheredRequestIsRefusedByAllNodes) {
  SendCrashing("GET", "/all/crash");
  EXPECT_GE(cluster_.Crashes().size(), 3U);
  EXPECT_LE(CountLateRetries(), kMaxLateRetries);
  EXPECT_GT(CountRefused(), 0);
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(3)));
  }
}

}  // namespace
}  // namespace gooseberryrock::process_test
