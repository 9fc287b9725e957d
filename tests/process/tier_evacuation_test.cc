// Tests the evacuation of a failure domain, with control VMs and entry nodes as
// processes.

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Nodes poll several times in this time.
constexpr milliseconds kFollowTime(1500);
// Each second of two makes callers go to another control VM.
constexpr milliseconds kOrderTime(6000);
// Servers in the failure domain "b": by service and number.
const std::vector<std::pair<size_t, size_t>> kServersInB = {{0, 1},
                                                            {2, 0},
                                                            {3, 1}};

class TierEvacuationTest : public testing::Test {
 protected:
  explicit TierEvacuationTest(TierOptions options = {})
      : cluster_(
            testing::TempDir() + "tier-evacuation-" +
                testing::UnitTest::GetInstance()->current_test_info()->name(),
            std::move(options)) {}

  void SetUp() override {
    for (const auto& [service, i] : kServersInB) {
      cluster_.SetReplyField(service, i, "X-Recorded", "1", http::status::ok);
    }
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  http::status Give(size_t control,
                    const std::string& order,
                    const std::string& domain = "b") {
    const auto reply = cluster_.CallControl(
        control, "POST", "/v1/evacuation/" + domain + "/" + order);
    return reply ? reply->result() : http::status::unknown;
  }

  // Gives the order to the control VM until it acknowledges it.
  bool GiveTo(size_t control,
              const std::string& order,
              const std::string& domain = "b") {
    const auto end = std::chrono::steady_clock::now() + kOrderTime;
    while (std::chrono::steady_clock::now() < end) {
      if (Give(control, order, domain) == http::status::ok) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  // Gives the order to the control VMs in turn until one acknowledges it.
  bool GiveToAny(const std::string& order) {
    const auto end = std::chrono::steady_clock::now() + kOrderTime;
    for (size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
      if (Give(i % kControlVms, order) == http::status::ok) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  size_t RequestsInB() {
    size_t n = 0;
    for (const auto& [service, i] : kServersInB) {
      n += cluster_.ArrivalsAt(service, i).size();
    }
    return n;
  }

  // Sends requests of both kinds to all entry nodes. Returns whether all were
  // answered completely.
  bool ServeRequests() {
    bool all_served = true;
    for (int n = 0; n < 15; ++n) {
      for (size_t i = 0; i < kEntryNodes; ++i) {
        const auto gathered = cluster_.SendRequest(i, "GET", "/all/x");
        all_served = all_served && gathered &&
                     gathered->result() == http::status::ok &&
                     (*gathered)["X-Missing-Parts"] == "0";
        const auto single = cluster_.SendRequest(i, "POST", "/one/x");
        all_served =
            all_served && single && single->result() == http::status::ok;
      }
    }
    return all_served;
  }

  void ExpectEvacuated() {
    std::this_thread::sleep_for(kFollowTime);
    const size_t before = RequestsInB();
    EXPECT_TRUE(ServeRequests());
    EXPECT_EQ(RequestsInB(), before);
  }

  void ExpectInUse() {
    std::this_thread::sleep_for(kFollowTime);
    const size_t before = RequestsInB();
    EXPECT_TRUE(ServeRequests());
    EXPECT_GT(RequestsInB(), before);
  }

  void KillControl(size_t i) {
    cluster_.Control(i).Signal(SIGKILL);
    cluster_.Control(i).WaitForExit(seconds(2));
  }

  size_t FindLeader() {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < kControlVms; ++i) {
        if (MetricValue(cluster_.ControlMetrics(i), "gbr_is_leader") == 1) {
          return i;
        }
      }
    }
    ADD_FAILURE() << "there is no leader";
    return 0;
  }

  TierCluster cluster_;
};

// Each entry node gathers for the other one, too; the second one is in the
// failure domain that is evacuated.
class GatherEvacuationTest : public TierEvacuationTest {
 protected:
  GatherEvacuationTest() : TierEvacuationTest({/*connection_limit=*/3}) {}
};

class ColdServerTest : public TierEvacuationTest {
 protected:
  static constexpr int kRate = 4;

  ColdServerTest()
      : TierEvacuationTest({/*connection_limit=*/30,
                            /*servers_in_first_domain=*/false,
                            /*cold_rate=*/kRate}) {}
};

// Guards against requests to servers of a failure domain that is evacuated, and
// against servers that stay unused after that.
TEST_F(TierEvacuationTest, ServersGetNoRequestsUntilFinish) {
  EXPECT_TRUE(GiveTo(0, "start"));
  ExpectEvacuated();
  EXPECT_TRUE(GiveTo(1, "start"));
  EXPECT_TRUE(GiveTo(2, "start"));
  ExpectEvacuated();
  // A node that starts learns of the servers only then.
  cluster_.Entry(0).Signal(SIGKILL);
  cluster_.Entry(0).WaitForExit(seconds(2));
  const size_t before = RequestsInB();
  cluster_.StartEntry(0);
  EXPECT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  EXPECT_EQ(RequestsInB(), before);
  EXPECT_TRUE(GiveTo(2, "finish"));
  EXPECT_TRUE(GiveTo(0, "finish"));
  ExpectInUse();
}

// Guards against orders for names that cannot be those of a failure domain.
TEST_F(TierEvacuationTest, MalformedOrdersAreRefused) {
  EXPECT_EQ(Give(0, "start", "no%20name"), http::status::bad_request);
  EXPECT_EQ(Give(0, "stop"), http::status::not_found);
  ExpectInUse();
}

// Guards against an acknowledged order that is lost with the leader that
// acknowledged it.
TEST_F(TierEvacuationTest, OrderSurvivesLossOfTheLeader) {
  const size_t leader = FindLeader();
  ASSERT_TRUE(GiveTo(leader, "start"));
  KillControl(leader);
  ExpectEvacuated();
  EXPECT_TRUE(GiveToAny("start"));
  cluster_.StartControl(leader, /*first_start=*/false);
  EXPECT_TRUE(GiveToAny("finish"));
  ExpectInUse();
}

// Guards against an order that cannot be given within its time while a new
// leader is elected.
TEST_F(TierEvacuationTest, OrderIsTakenWhileTheLeaderChanges) {
  const size_t leader = FindLeader();
  KillControl(leader);
  EXPECT_TRUE(GiveToAny("start"));
  ExpectEvacuated();
  cluster_.StartControl(leader, /*first_start=*/false);
}

// Guards against an acknowledged order that is lost when all VMs lose power,
// and against entry nodes that start before the control VMs know of it.
TEST_F(TierEvacuationTest, OrderSurvivesRestartOfAllProcesses) {
  ASSERT_TRUE(GiveToAny("start"));
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).Signal(SIGKILL);
  }
  for (size_t i = 0; i < kEntryNodes; ++i) {
    cluster_.Entry(i).Signal(SIGKILL);
    cluster_.Entry(i).WaitForExit(seconds(2));
  }
  // The nodes may have sent requests until then.
  const size_t before = RequestsInB();
  for (size_t i = 0; i < kControlVms; ++i) {
    cluster_.Control(i).WaitForExit(seconds(2));
    cluster_.StartControl(i, /*first_start=*/false);
  }
  for (size_t i = 0; i < kEntryNodes; ++i) {
    cluster_.StartEntry(i);
  }
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
  EXPECT_TRUE(ServeRequests());
  EXPECT_EQ(RequestsInB(), before);
  EXPECT_TRUE(GiveToAny("finish"));
  ExpectInUse();
}

// Guards against a control VM that forgets the order with its disk and tells
// nodes that no failure domain is evacuated.
TEST_F(TierEvacuationTest, OrderSurvivesLossOfADisk) {
  ASSERT_TRUE(GiveToAny("start"));
  // The control VM that the first entry node polls.
  KillControl(0);
  cluster_.DeleteControlData(0);
  cluster_.StartControl(0, /*first_start=*/false);
  ExpectEvacuated();
  cluster_.Entry(0).Signal(SIGKILL);
  cluster_.Entry(0).WaitForExit(seconds(2));
  const size_t before = RequestsInB();
  cluster_.StartEntry(0);
  EXPECT_TRUE(cluster_.WaitForCompleteAnswer(0, seconds(10)));
  EXPECT_EQ(RequestsInB(), before);
  ExpectEvacuated();
}

// Guards against gathering nodes that send requests to servers of an evacuated
// failure domain.
TEST_F(GatherEvacuationTest, GatheringNodesFollowTheOrder) {
  EXPECT_TRUE(GiveToAny("start"));
  ExpectEvacuated();
  EXPECT_TRUE(GiveToAny("finish"));
  ExpectInUse();
}

// Guards against a request that waits or runs in part although no server may
// get it.
TEST_F(GatherEvacuationTest, RequestsWithoutServersAreRefusedAtOnce) {
  for (const std::string domain : {"a", "b", "c"}) {
    ASSERT_TRUE(GiveTo(0, "start", domain));
  }
  std::this_thread::sleep_for(kFollowTime);
  const size_t before = cluster_.ServerRequests().size();
  for (size_t i = 0; i < kEntryNodes; ++i) {
    for (const auto& [method, path] :
         {std::pair("GET", "/all/x"), std::pair("POST", "/one/x")}) {
      const auto reply = cluster_.SendRequest(i, method, path);
      ASSERT_TRUE(reply);
      // This status promises that the request did not run.
      EXPECT_EQ(reply->result(), http::status::service_unavailable);
      EXPECT_NE((*reply)["Retry-After"], "");
    }
  }
  EXPECT_EQ(cluster_.ServerRequests().size(), before);
}

// Guards against a cold server that gets more than its service allows, from all
// nodes together, and against one that is left alone after it has warmed up.
TEST_F(ColdServerTest, ColdServerGetsItsRateOnly) {
  cluster_.SetCold(3, 1, true);
  std::this_thread::sleep_for(kFollowTime);
  const size_t before = cluster_.ArrivalsAt(3, 1).size();
  const auto end = std::chrono::steady_clock::now() + seconds(4);
  while (std::chrono::steady_clock::now() < end) {
    // The other server of the service is in the domain of the first node.
    for (int n = 0; n < 8; ++n) {
      const auto reply = cluster_.SendRequest(1, "POST", "/one/x");
      ASSERT_TRUE(reply);
      EXPECT_EQ(reply->result(), http::status::ok);
    }
  }
  const auto arrivals = cluster_.ArrivalsAt(3, 1);
  EXPECT_GT(arrivals.size(), before + kRate);
  for (size_t i = before; i < arrivals.size(); ++i) {
    size_t n = 0;
    while (i + n < arrivals.size() &&
           arrivals[i + n] - arrivals[i] < seconds(1)) {
      ++n;
    }
    EXPECT_LE(static_cast<double>(n), 1.5 * kRate + 5);
  }
  cluster_.SetCold(3, 1, false);
  std::this_thread::sleep_for(kFollowTime);
  for (int n = 0; n < 100; ++n) {
    ASSERT_TRUE(cluster_.SendRequest(1, "POST", "/one/x"));
  }
  EXPECT_GT(cluster_.ArrivalsAt(3, 1).size(), arrivals.size() + 50);
}

}  // namespace
}  // namespace gooseberryrock::process_test
