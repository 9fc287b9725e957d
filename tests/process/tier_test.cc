// Control VMs and entry nodes together, as processes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AllOf;
using testing::HasSubstr;

class TierTest : public testing::Test {
 protected:
  TierTest()
      : cluster_(
            testing::TempDir() + "tier-" +
            testing::UnitTest::GetInstance()->current_test_info()->name()) {}

  // Whether a control VM reads `version` or a higher one within `timeout`, and
  // never an older one.
  bool ReadsAtLeast(uint64_t version, Duration timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < kControlVms; ++i) {
        const uint64_t read = cluster_.ReadVersion(i);
        if (read >= version) {
          return true;
        }
        EXPECT_EQ(read, 0U) << "an older version was read";
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  TierCluster cluster_;
};

// Guards against nodes that do not find each other, and answers that are not
// those of the servers.
TEST_F(TierTest, ServesGatheredAndRelayedRequests) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForService(i, seconds(10)));
  }
  const auto gathered = cluster_.Ask(0, "GET", "/all/x");
  ASSERT_TRUE(gathered);
  // Two of three records of 16 equal bytes, the greater first.
  ASSERT_EQ(gathered->body().size(), 32U);
  EXPECT_GT(gathered->body()[0], gathered->body()[16]);
  const auto single = cluster_.Ask(1, "POST", "/one/x");
  ASSERT_TRUE(single);
  EXPECT_EQ(single->result(), http::status::ok);
  EXPECT_NE((*single)["X-Server-Stamp"], "");
  EXPECT_EQ(cluster_.Ask(0, "GET", "/none/")->result(),
            http::status::not_found);
  EXPECT_EQ(
      cluster_.CallControl(0, "POST", "/v1/config/replace", "{}")->result(),
      http::status::bad_request);
}

// The value of the metric with these labels; nothing when the page lacks it.
std::optional<double> ValueOf(const std::string& page,
                              const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  return at == std::string::npos
             ? std::nullopt
             : std::optional(std::stod(page.substr(at + name.size() + 2)));
}

// Guards against nodes whose state can only be seen in their logs, and against
// answers that are counted under another route or rank.
TEST_F(TierTest, MetricsShowAnswersAndRoutes) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForService(0, seconds(10)));
  const std::string name =
      R"(gbr_answers_total{service="gathered",rank="normal",tenant="h",)"
      R"(status="complete"})";
  const double before = ValueOf(cluster_.EntryMetrics(0), name).value_or(0);
  for (int n = 0; n < 5; ++n) {
    ASSERT_TRUE(cluster_.Ask(0, "GET", "/all/x"));
  }
  ASSERT_TRUE(cluster_.Ask(0, "GET", "/none/"));
  const std::string entry = cluster_.EntryMetrics(0);
  EXPECT_EQ(ValueOf(entry, name), before + 5);
  EXPECT_EQ(ValueOf(entry, "gbr_requests_without_route_total"), 1);
  EXPECT_EQ(ValueOf(entry, "gbr_routes_version"), 5);
  EXPECT_EQ(ValueOf(entry, "gbr_ready"), 1);
  EXPECT_GE(ValueOf(entry, "gbr_attempts_sent_total"), 15);
  int leaders = 0;
  for (size_t i = 0; i < kControlVms; ++i) {
    // A majority has the routes at once, the last VM a little later.
    std::string control;
    const auto end = std::chrono::steady_clock::now() + seconds(2);
    do {
      control = cluster_.ControlMetrics(i);
    } while (ValueOf(control, "gbr_routes_version") != 5 &&
             std::chrono::steady_clock::now() < end);
    EXPECT_EQ(ValueOf(control, "gbr_routes_version"), 5);
    EXPECT_EQ(ValueOf(control, "gbr_servers_ready"), 8);
    leaders += ValueOf(control, "gbr_is_leader") == 1 ? 1 : 0;
  }
  EXPECT_EQ(leaders, 1);
}

// Guards against a failed request whose cause the logs do not lead to: the
// three walks of the operators' page, each with its fault.
TEST_F(TierTest, LogsLeadFromARequestToItsCause) {
  using Fault = TierCluster::ServerFault;
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForService(0, seconds(10)));
  // One of three shards does not answer, and two are enough.
  cluster_.SetFault(1, Fault::kNoAnswer);
  const auto partial = cluster_.Ask(0, "GET", "/all/x");
  ASSERT_TRUE(partial);
  EXPECT_EQ((*partial)["X-Missing-Parts"], "1");
  EXPECT_THAT(cluster_.ExplainLast(),
              AllOf(HasSubstr("answered in part"), HasSubstr("cause=hedge"),
                    HasSubstr("missing_services=s1")));
  // The server closes the connection of a request that must not run twice.
  cluster_.SetFault(3, Fault::kCloses);
  const auto lost = cluster_.Ask(0, "POST", "/one/x");
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->result(), http::status::bad_gateway);
  EXPECT_THAT(cluster_.ExplainLast(),
              AllOf(HasSubstr("may have run: the connection to the server was"),
                    HasSubstr("event=attempt_lost")));
  // Two of three shards close all connections until they count as down.
  cluster_.SetFault(0, Fault::kCloses);
  cluster_.SetFault(1, Fault::kCloses);
  std::optional<transport::Response> refused;
  for (int n = 0; n < 20 && (!refused || refused->result() !=
                                             http::status::service_unavailable);
       ++n) {
    refused = cluster_.Ask(0, "GET", "/all/x");
  }
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result(), http::status::service_unavailable);
  EXPECT_NE((*refused)["Retry-After"], "");
  EXPECT_THAT(cluster_.ExplainLast(),
              AllOf(HasSubstr("too many shards had no server that responds"),
                    HasSubstr("missing_services=s0,s1"),
                    HasSubstr("event=attempt_lost")));
}

// Guards against acknowledged routes that are lost or shown in an older state
// when all control VMs are killed at once.
TEST_F(TierTest, KeepsRoutesWhenAllControlVmsAreKilled) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForService(0, seconds(10)));
  for (uint64_t version = 6; version < 12; ++version) {
    ASSERT_TRUE(cluster_.PutRoutes(version));
    for (size_t i = 0; i < kControlVms; ++i) {
      cluster_.Control(i).Signal(SIGKILL);
    }
    for (size_t i = 0; i < kControlVms; ++i) {
      cluster_.Control(i).WaitForEnd(seconds(2));
      cluster_.StartControl(i, /*first_start=*/false);
    }
    EXPECT_TRUE(ReadsAtLeast(version, seconds(10)));
    const auto reply = cluster_.Ask(0, "GET", "/all/x");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->result(), http::status::ok);
  }
}

// Guards against nodes that serve nothing after the loss of all processes until
// the servers announce themselves again, and against servers that are used for
// ever although they do not.
TEST_F(TierTest, RemembersServersWhenAllProcessesAreKilled) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForService(0, seconds(10)));
  // The list of servers is saved first 2.5 s after the start.
  std::this_thread::sleep_for(seconds(4));
  cluster_.SetSilent(true);
  // The last announcements have arrived by then.
  std::this_thread::sleep_for(milliseconds(500));
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).Signal(SIGKILL);
  }
  cluster_.Entry(0).Signal(SIGKILL);
  cluster_.Entry(0).WaitForEnd(seconds(2));
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).WaitForEnd(seconds(2));
    cluster_.StartControl(i, /*first_start=*/false);
  }
  cluster_.StartEntry(0);
  EXPECT_TRUE(cluster_.WaitForService(0, seconds(2)));
  std::this_thread::sleep_for(seconds(3));
  const auto reply = cluster_.Ask(0, "GET", "/all/x");
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->result(), http::status::service_unavailable);
  cluster_.SetSilent(false);
  EXPECT_TRUE(cluster_.WaitForService(0, seconds(2)));
}

// Guards against a control VM that lost its disk and stays without a vote: two
// such losses, one after the other, leave what was acknowledged.
TEST_F(TierTest, EmptyDisksAreRepairedWithoutAnOperator) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (uint64_t i = 0; i < kControlVms; ++i) {
    const size_t vm = i;
    cluster_.Control(vm).Signal(SIGKILL);
    cluster_.Control(vm).WaitForEnd(seconds(2));
    cluster_.WipeControl(vm);
    cluster_.StartControl(vm, /*first_start=*/false);
    // The time that the users allow until the next disk may be lost.
    std::this_thread::sleep_for(seconds(4));
    EXPECT_TRUE(ReadsAtLeast(5 + i, seconds(5))) << "after loss " << i;
    ASSERT_TRUE(cluster_.PutRoutes(6 + i));
  }
  EXPECT_TRUE(ReadsAtLeast(5 + kControlVms, seconds(5)));
}

// Guards against a graceful stop that cuts requests, takes longer than it may,
// or lets a request that must not run twice do so.
TEST_F(TierTest, RollingRestartCutsNothing) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForService(i, seconds(10)));
  }
  std::atomic<bool> stop = false;
  std::atomic<int> failures = 0;
  std::atomic<int> served = 0;
  std::thread caller([&] {
    while (!stop) {
      // The first node drains; callers with new connections are sent on to it
      // for 3 s until the balancer has noticed.
      const auto reply = cluster_.Ask(0, "POST", "/one/x");
      (reply && reply->result() == http::status::ok) ? ++served : ++failures;
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  std::this_thread::sleep_for(milliseconds(200));
  cluster_.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1800));
  stop = true;
  caller.join();
  EXPECT_EQ(failures, 0);
  EXPECT_GT(served, 20);
  EXPECT_TRUE(cluster_.Entry(0).WaitForEnd(seconds(4)));
  for (const auto& [id, n] : cluster_.Executions()) {
    EXPECT_EQ(n, 1) << id;
  }
}

}  // namespace
}  // namespace gooseberryrock::process_test
