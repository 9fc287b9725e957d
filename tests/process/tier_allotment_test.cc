// Tests the allotments of organisations, with control VMs and entry nodes as
// processes.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKey[] = "key-of-limited-organisation";
constexpr char kOtherKey[] = "key-of-other-organisation";
constexpr size_t kSingle = 3;
constexpr size_t kCallers = 8;
constexpr seconds kWindow(5);

std::string Organisations(int rate) {
  const std::string limit = std::to_string(rate);
  return R"([{"name":"limited","api_keys":["key-of-limited-organisation"],)"
         R"("rate_per_s":)" +
         limit + R"(,"burst":)" + limit +
         R"(},{"name":"other","api_keys":["key-of-other-organisation"]}])";
}

// What a window may hold by the rule.
double Bound(int rate) {
  return (rate * 5.0 + rate) * 1.1 + 20;
}

class TierAllotmentTest : public testing::Test {
 protected:
  TierAllotmentTest()
      : cluster_(
            testing::TempDir() + "tier-allotment-" +
            testing::UnitTest::GetInstance()->current_test_info()->name()) {}

  void SetUp() override {
    for (size_t i = 0; i < kServersPerService; ++i) {
      cluster_.SetReplyField(kSingle, i, "X-Note", "1", http::status::ok);
    }
    cluster_.SetOrganisations(Organisations(kRate));
    cluster_.SetCallerKey(kKey);
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  // Sends as many requests as the callers can, with short pauses, to the entry
  // node `target_` until `flood_ends_` is set.
  std::vector<std::thread> StartFlood() {
    std::vector<std::thread> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([this] {
        while (!flood_ends_) {
          const auto reply = cluster_.SendRequest(target_, "POST", "/one/x");
          if (reply && reply->result() == http::status::ok) {
            ++served_;
          } else if (reply &&
                     reply->result() == http::status::too_many_requests) {
            ++refused_;
            with_retry_time_ += reply->count("Retry-After") > 0 ? 1 : 0;
          }
          std::this_thread::sleep_for(milliseconds(50));
        }
      });
    }
    return callers;
  }

  // The largest number of requests that reached servers in any window.
  size_t LargestWindow(SteadyTime from) {
    std::vector<SteadyTime> all;
    for (size_t i = 0; i < kServersPerService; ++i) {
      for (const SteadyTime it : cluster_.ArrivalsAt(kSingle, i)) {
        if (it >= from) {
          all.push_back(it);
        }
      }
    }
    std::sort(all.begin(), all.end());
    size_t most = 0;
    for (size_t i = 0, end = 0; i < all.size(); ++i) {
      while (end < all.size() && all[end] < all[i] + kWindow) {
        ++end;
      }
      most = std::max(most, end - i);
    }
    return most;
  }

  static constexpr int kRate = 10;
  TierCluster cluster_;
  std::atomic<size_t> target_ = 0;
  std::atomic<bool> flood_ends_ = false;
  std::atomic<int> served_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> with_retry_time_ = 0;
};

// Guards against each node admitting the whole allotment when the callers move
// between them, and against the loss of a control VM that lifts the limit.
TEST_F(TierAllotmentTest, FloodThatMovesWhileControlVmIsKilledStaysWithinRule) {
  auto callers = StartFlood();
  std::this_thread::sleep_for(seconds(3));
  cluster_.Control(0).Signal(SIGKILL);
  cluster_.Control(0).WaitForExit(seconds(5));
  target_ = 1;
  std::this_thread::sleep_for(seconds(2));
  cluster_.StartControl(0, /*first_start=*/false);
  std::this_thread::sleep_for(seconds(4));
  flood_ends_ = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const size_t most = LargestWindow({});
  RecordProperty("largest_window", std::to_string(most));
  EXPECT_LE(static_cast<double>(most), Bound(kRate));
  // The allotment is used.
  EXPECT_GE(served_, 5 * kRate);
  EXPECT_GE(refused_, served_ * 2);
  EXPECT_EQ(with_retry_time_, refused_);
  EXPECT_GE(MetricValue(cluster_.EntryMetrics(0),
                        "gbr_requests_over_allotment_total"),
            1);
  // An organisation without an allotment is not refused, and the limited one is
  // served again.
  cluster_.SetCallerKey(kOtherKey);
  for (int i = 0; i < 20; ++i) {
    const auto reply = cluster_.SendRequest(1, "POST", "/one/x");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->result(), http::status::ok);
  }
  std::this_thread::sleep_for(seconds(2));
  cluster_.SetCallerKey(kKey);
  for (int i = 0; i < 10; ++i) {
    const auto reply = cluster_.SendRequest(i % kEntryNodes, "POST", "/one/x");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->result(), http::status::ok);
    std::this_thread::sleep_for(milliseconds(2000) / kRate);
  }
}

// Guards against a lowered limit that takes effect late, or keeps the burst of
// the earlier one.
TEST_F(TierAllotmentTest, LoweredLimitTakesEffect) {
  constexpr int kLowered = 1;
  auto callers = StartFlood();
  std::this_thread::sleep_for(seconds(2));
  cluster_.SetOrganisations(Organisations(kLowered));
  EXPECT_TRUE(cluster_.PutRoutes(6));
  const SteadyTime changed = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(seconds(6));
  flood_ends_ = true;
  for (std::thread& it : callers) {
    it.join();
  }
  const size_t most = LargestWindow(changed + milliseconds(500));
  RecordProperty("largest_window", std::to_string(most));
  EXPECT_LE(static_cast<double>(most), Bound(kLowered));
}

}  // namespace
}  // namespace gooseberryrock::process_test
