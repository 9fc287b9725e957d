// Tests control VMs and entry nodes together, as processes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
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

  // Returns whether a control VM reports `version` or a higher one within
  // `timeout`. Fails the test when one reports a lower version before.
  bool WaitForRoutesVersion(uint64_t version, Duration timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < kControlVms; ++i) {
        const uint64_t read = cluster_.ReadRoutesVersion(i);
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

// Guards against nodes that do not discover each other, and against answers
// that differ from the servers' replies.
TEST_F(TierTest, ServesGatheredAndRelayedRequests) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
  const auto gathered = cluster_.SendRequest(0, "GET", "/all/x");
  ASSERT_TRUE(gathered);
  // The two greatest of three records of 16 equal bytes, in descending order.
  ASSERT_EQ(gathered->body().size(), 32U);
  EXPECT_GT(gathered->body()[0], gathered->body()[16]);
  const auto single = cluster_.SendRequest(1, "POST", "/one/x");
  ASSERT_TRUE(single);
  EXPECT_EQ(single->result(), http::status::ok);
  EXPECT_NE((*single)["X-Server-Stamp"], "");
  EXPECT_EQ(cluster_.SendRequest(0, "GET", "/none/")->result(),
            http::status::not_found);
  EXPECT_EQ(
      cluster_.CallControl(0, "POST", "/v1/config/replace", "{}")->result(),
      http::status::bad_request);
}

// Guards against state that is missing in the metrics, and against answers that
// are counted for the wrong route or rank.
TEST_F(TierTest, MetricsShowAnswersAndRoutes) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  const std::string name =
      R"(gbr_answers_total{service="gathered",rank="normal",tenant="h",)"
      R"(status="complete"})";
  const double before = MetricValue(cluster_.EntryMetrics(0), name).value_or(0);
  for (int n = 0; n < 5; ++n) {
    ASSERT_TRUE(cluster_.SendRequest(0, "GET", "/all/x"));
  }
  ASSERT_TRUE(cluster_.SendRequest(0, "GET", "/none/"));
  const std::string entry = cluster_.EntryMetrics(0);
  EXPECT_EQ(MetricValue(entry, name), before + 5);
  EXPECT_EQ(MetricValue(entry, "gbr_requests_without_route_total"), 1);
  EXPECT_EQ(MetricValue(entry, "gbr_routes_version"), 5);
  EXPECT_EQ(MetricValue(entry, "gbr_ready"), 1);
  EXPECT_GE(MetricValue(entry, "gbr_attempts_sent_total"), 15);
  int leaders = 0;
  for (size_t i = 0; i < kControlVms; ++i) {
    // A majority has the routes at once; the last VM may follow a little later.
    std::string control;
    const auto end = std::chrono::steady_clock::now() + seconds(2);
    do {
      control = cluster_.ControlMetrics(i);
    } while ((MetricValue(control, "gbr_routes_version") != 5 ||
              MetricValue(control, "gbr_log_voters_present") != 3) &&
             std::chrono::steady_clock::now() < end);
    EXPECT_EQ(MetricValue(control, "gbr_routes_version"), 5);
    EXPECT_EQ(MetricValue(control, "gbr_servers_ready"), 8);
    EXPECT_EQ(MetricValue(control, "gbr_log_voters"), 3);
    EXPECT_EQ(MetricValue(control, "gbr_log_voters_present"), 3);
    EXPECT_EQ(MetricValue(control, "gbr_log_tolerated_losses"), 1);
    leaders += MetricValue(control, "gbr_is_leader") == 1 ? 1 : 0;
  }
  EXPECT_EQ(leaders, 1);
}

// Guards against a failed request whose cause cannot be found in the logs.
// Covers the three examples of the operators' page, each with its fault.
TEST_F(TierTest, LogsExplainFailedRequests) {
  using Fault = TierCluster::ServerFault;
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  // One of three shards does not respond; two are enough for a partial answer.
  cluster_.SetFault(1, Fault::kNoResponse);
  const auto partial = cluster_.SendRequest(0, "GET", "/all/x");
  ASSERT_TRUE(partial);
  EXPECT_EQ((*partial)["X-Missing-Parts"], "1");
  EXPECT_THAT(cluster_.ExplainLastRequest(),
              AllOf(HasSubstr("answered in part"), HasSubstr("cause=hedge"),
                    HasSubstr("missing_services=s1")));
  // The server closes the connection of a non-idempotent request.
  cluster_.SetFault(3, Fault::kCloseConnection);
  const auto lost = cluster_.SendRequest(0, "POST", "/one/x");
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->result(), http::status::bad_gateway);
  EXPECT_THAT(cluster_.ExplainLastRequest(),
              AllOf(HasSubstr("may have run: the connection to the server was"),
                    HasSubstr("event=attempt_lost")));
  // Two of three shards close all connections until they are considered down.
  cluster_.SetFault(0, Fault::kCloseConnection);
  cluster_.SetFault(1, Fault::kCloseConnection);
  std::optional<transport::Response> refused;
  for (int n = 0; n < 20 && (!refused || refused->result() !=
                                             http::status::service_unavailable);
       ++n) {
    refused = cluster_.SendRequest(0, "GET", "/all/x");
  }
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result(), http::status::service_unavailable);
  EXPECT_NE((*refused)["Retry-After"], "");
  EXPECT_THAT(cluster_.ExplainLastRequest(),
              AllOf(HasSubstr("too many shards had no server that responds"),
                    HasSubstr("missing_services=s0,s1"),
                    HasSubstr("event=attempt_lost")));
}

// Guards against acknowledged routes that are lost or reverted to an older
// version when all control VMs are killed at once.
TEST_F(TierTest, KeepsRoutesWhenAllControlVmsAreKilled) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  for (uint64_t version = 6; version < 12; ++version) {
    ASSERT_TRUE(cluster_.PutRoutes(version));
    for (size_t i = 0; i < kControlVms; ++i) {
      cluster_.Control(i).Signal(SIGKILL);
    }
    for (size_t i = 0; i < kControlVms; ++i) {
      cluster_.Control(i).WaitForExit(seconds(2));
      cluster_.StartControl(i, /*first_start=*/false);
    }
    EXPECT_TRUE(WaitForRoutesVersion(version, seconds(10)));
    const auto reply = cluster_.SendRequest(0, "GET", "/all/x");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->result(), http::status::ok);
  }
}

// Guards against nodes that, after all processes were killed, cannot serve
// until the servers announce themselves again, and against servers that stay in
// use although they never do.
TEST_F(TierTest, RemembersServersWhenAllProcessesAreKilled) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  // The list of servers is first saved 2.5 s after the start.
  std::this_thread::sleep_for(seconds(4));
  cluster_.SetAnnouncementsPaused(true);
  // Waits for the last announcements to arrive.
  std::this_thread::sleep_for(milliseconds(500));
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).Signal(SIGKILL);
  }
  cluster_.Entry(0).Signal(SIGKILL);
  cluster_.Entry(0).WaitForExit(seconds(2));
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).WaitForExit(seconds(2));
    cluster_.StartControl(i, /*first_start=*/false);
  }
  cluster_.StartEntry(0);
  EXPECT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(2)));
  std::this_thread::sleep_for(seconds(3));
  const auto reply = cluster_.SendRequest(0, "GET", "/all/x");
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->result(), http::status::service_unavailable);
  cluster_.SetAnnouncementsPaused(false);
  EXPECT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(2)));
}

// Guards against a control VM that never becomes a voter again after it lost
// its disk: further losses, one after the other, must not lose acknowledged
// routes.
TEST_F(TierTest, EmptyDisksAreRepairedWithoutAnOperator) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (uint64_t i = 0; i < kControlVms; ++i) {
    const size_t vm = i;
    cluster_.Control(vm).Signal(SIGKILL);
    cluster_.Control(vm).WaitForExit(seconds(2));
    cluster_.DeleteControlData(vm);
    cluster_.StartControl(vm, /*first_start=*/false);
    // Repair time that the platform allows before the next disk may be lost.
    std::this_thread::sleep_for(seconds(4));
    EXPECT_TRUE(WaitForRoutesVersion(5 + i, seconds(5))) << "after loss " << i;
    ASSERT_TRUE(cluster_.PutRoutes(6 + i));
  }
  EXPECT_TRUE(WaitForRoutesVersion(5 + kControlVms, seconds(5)));
}

// Guards against a call of another writer after which no node follows the
// directory or the routes any more, because each refuses what it is sent.
TEST_F(TierTest, OddCallsDoNotStopTheNodes) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  const std::string odd_ids[] = {"a%2Fb", "x:y", std::string(200, 'z')};
  for (const std::string& id : odd_ids) {
    for (size_t i = 0; i < kControlVms; ++i) {
      cluster_.CallControl(i, "POST", "/v1/instances/" + id + "/deregister");
    }
  }
  cluster_.CallControl(0, "POST", "/v1/instances/server-0/heartbeat",
                       "{\"x\":" + std::string(1'000'000, '[') + "}");
  ASSERT_TRUE(cluster_.PutRoutes(6));
  cluster_.CallControl(
      0, "POST", "/v1/instances/server-new/heartbeat",
      R"({"service":"s0","address":"127.0.0.1:1","zone":"a","state":"ready",)"
      R"("concurrency_limit":1,"sequence":1,"born":1000})");
  const auto end = std::chrono::steady_clock::now() + seconds(3);
  const auto in_force = [this](size_t i) {
    const std::string metrics = cluster_.EntryMetrics(i);
    return MetricValue(metrics, "gbr_routes_version") == 6 &&
           MetricValue(metrics, "gbr_servers_ready") == 9;
  };
  while (!(in_force(0) && in_force(1)) &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_TRUE(in_force(i)) << "entry node " << i;
    EXPECT_TRUE(cluster_.Entry(i).running());
  }
  for (size_t i = 0; i < kControlVms; ++i) {
    EXPECT_TRUE(cluster_.Control(i).running()) << "control VM " << i;
  }
}

// Guards against entry nodes that each use the whole of a limit which a server
// names for all of them, and against callers who are not told why they are
// refused.
TEST_F(TierTest, RequestLimitIsDividedAmongEntryNodes) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
  // The service of the route /one/.
  constexpr size_t kService = 3;
  constexpr double kLimit = 8;
  constexpr Duration kWindow = seconds(4);
  for (size_t i = 0; i < kServersPerService; ++i) {
    cluster_.SetReplyField(kService, i, "Server-Limit", std::to_string(kLimit),
                           http::status::ok);
  }
  const auto start = std::chrono::steady_clock::now();
  int refused = 0;
  for (int n = 0; std::chrono::steady_clock::now() - start < 2 * kWindow; ++n) {
    const auto reply = cluster_.SendRequest(n % 2, "POST", "/one/x");
    if (reply && reply->result() == http::status::service_unavailable) {
      EXPECT_NE((*reply)[http::field::retry_after], "");
      ++refused;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_GT(refused, 0);
  const auto arrivals = cluster_.ArrivalsAt(kService, 0);
  const auto counted =
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](SteadyTime it) { return it >= start + kWindow; });
  EXPECT_LE(static_cast<double>(counted), 1.5 * kLimit * 4 + 5);
  EXPECT_GT(counted, 0);
  EXPECT_GE(MetricValue(cluster_.EntryMetrics(0), "gbr_servers_limited"), 1);
}

// Guards against requests to a server that says in its replies that it leaves
// or wants none, although its announcements say that it is ready.
TEST_F(TierTest, LeavingAndRestingServersAreLeftAlone) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
  // A shard, and the service of the route /one/.
  constexpr size_t kShard = 0;
  constexpr size_t kSingle = 3;
  constexpr Duration kRest = seconds(3);
  cluster_.SetReplyField(kShard, 0, "Server-Leaving", "1", http::status::ok);
  cluster_.SetReplyField(kSingle, 0, "Retry-After", "3",
                         http::status::service_unavailable);
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < kRest) {
    for (size_t i = 0; i < kEntryNodes; ++i) {
      const auto gathered = cluster_.SendRequest(i, "GET", "/all/x");
      ASSERT_TRUE(gathered);
      EXPECT_EQ(gathered->result(), http::status::ok);
      const auto single = cluster_.SendRequest(i, "POST", "/one/x");
      ASSERT_TRUE(single);
      EXPECT_EQ(single->result(), http::status::ok);
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  // Each entry node is told once, by the first reply.
  EXPECT_GT(cluster_.ArrivalsAt(kShard, 0).size(), 0U);
  EXPECT_LE(cluster_.ArrivalsAt(kShard, 0).size(), 2 * kEntryNodes);
  EXPECT_GT(cluster_.ArrivalsAt(kSingle, 0).size(), 0U);
  EXPECT_LE(cluster_.ArrivalsAt(kSingle, 0).size(), 2 * kEntryNodes);
  EXPECT_EQ(MetricValue(cluster_.EntryMetrics(0), "gbr_servers_leaving"), 1);
}

// Guards against routes that are on a disk, but that no operator can bring back
// into force once two of three disks are lost.
TEST_F(TierTest, LostMajorityIsRecoveredByAnOperator) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  // A majority has the routes; the VM whose disk is kept may follow later.
  const size_t kept = 0;
  const auto stored = std::chrono::steady_clock::now() + seconds(5);
  while (MetricValue(cluster_.ControlMetrics(kept), "gbr_routes_version") !=
             5 &&
         std::chrono::steady_clock::now() < stored) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_FALSE(cluster_.RecoverControl(kept)) << "the VM runs";
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).Signal(SIGKILL);
    cluster_.Control(i).WaitForExit(seconds(2));
  }
  ASSERT_TRUE(cluster_.RecoverControl(kept));
  for (size_t i = 1; i < kControlVms; ++i) {
    cluster_.DeleteControlData(i);
    EXPECT_FALSE(cluster_.RecoverControl(i)) << "the data folder is lost";
  }
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.StartControl(i, /*first_start=*/false);
  }
  EXPECT_TRUE(WaitForRoutesVersion(5, seconds(10)));
  EXPECT_TRUE(cluster_.PutRoutes(6));
  const auto end = std::chrono::steady_clock::now() + seconds(10);
  while (MetricValue(cluster_.ControlMetrics(kept),
                     "gbr_log_tolerated_losses") != 1 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  const std::string metrics = cluster_.ControlMetrics(kept);
  EXPECT_EQ(MetricValue(metrics, "gbr_log_voters"), 3);
  EXPECT_EQ(MetricValue(metrics, "gbr_log_tolerated_losses"), 1);
}

// Guards against a graceful stop that aborts requests, exceeds the stop time,
// or runs a non-idempotent request twice.
TEST_F(TierTest, GracefulStopAbortsNoRequest) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  for (size_t i = 0; i < kEntryNodes; ++i) {
    ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
  std::atomic<bool> stop = false;
  std::atomic<int> failures = 0;
  std::atomic<int> served = 0;
  std::thread caller([&] {
    while (!stop) {
      // While the first node drains, callers still open connections to it: the
      // load balancer takes 3 s to notice.
      const auto reply = cluster_.SendRequest(0, "POST", "/one/x");
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
  EXPECT_TRUE(cluster_.Entry(0).WaitForExit(seconds(4)));
  for (const auto& [id, n] : cluster_.Executions()) {
    EXPECT_EQ(n, 1) << id;
  }
}

// Guards against a signal that ends a node while it drains, and cuts off the
// requests in progress: a changed settings file and a repeated stop signal.
TEST_F(TierTest, SignalsWhileDrainingCutOffNoRequest) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  // The request takes the 2 s of its route.
  cluster_.SetFault(3, TierCluster::ServerFault::kNoResponse);
  std::optional<transport::Response> reply;
  std::thread caller(
      [&] { reply = cluster_.SendRequest(0, "POST", "/one/x", seconds(5)); });
  std::this_thread::sleep_for(milliseconds(300));
  cluster_.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  for (int it : {SIGHUP, SIGTERM, SIGINT}) {
    cluster_.Entry(0).Signal(it);
    std::this_thread::sleep_for(milliseconds(100));
  }
  caller.join();
  ASSERT_TRUE(reply) << "cut off without an answer";
  EXPECT_EQ(reply->result(), http::status::gateway_timeout);
  EXPECT_EQ(cluster_.Entry(0).WaitForExit(seconds(4)), 0);

  cluster_.Control(0).Signal(SIGTERM);
  cluster_.Control(0).Signal(SIGHUP);
  EXPECT_EQ(cluster_.Control(0).WaitForExit(seconds(6)), 0);
}

// Guards against taking requests late in the stop time and cutting them off at
// its end without an answer: the stop time is 4 s, and a server that does not
// respond keeps a request for the 2 s of its route.
TEST_F(TierTest, RequestLateInTheStopTimeIsAnswered) {
  ASSERT_TRUE(cluster_.PutRoutes(5));
  ASSERT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  cluster_.SetFault(3, TierCluster::ServerFault::kNoResponse);
  cluster_.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1850));
  const auto reply = cluster_.SendRequest(0, "POST", "/one/x", seconds(5));
  ASSERT_TRUE(reply) << "cut off without an answer";
  const auto executions = cluster_.Executions();
  if (executions.empty()) {
    EXPECT_EQ(reply->result(), http::status::service_unavailable);
  } else {
    EXPECT_EQ(reply->result(), http::status::gateway_timeout);
    EXPECT_EQ(executions.begin()->second, 1);
  }
  EXPECT_TRUE(cluster_.Entry(0).WaitForExit(seconds(3)));
}

}  // namespace
}  // namespace gooseberryrock::process_test
