// Tests the access of callers with keys, with control VMs and entry nodes as
// processes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;
using testing::Not;

constexpr char kKey[] = "key-of-first-organisation";
constexpr char kOtherKey[] = "key-of-second-organisation";
constexpr char kBothOrganisations[] =
    R"([{"name":"first","api_keys":["key-of-first-organisation"]},)"
    R"({"name":"second","api_keys":["key-of-second-organisation"]}])";
constexpr char kSecondOrganisation[] =
    R"([{"name":"first","api_keys":[]},)"
    R"({"name":"second","api_keys":["key-of-second-organisation"]}])";
constexpr milliseconds kKeyRevocationTime(1000);
// At most the minimum election timeout.
constexpr milliseconds kLeaseTime(600);

class TierKeysTest : public testing::Test {
 protected:
  explicit TierKeysTest(TierOptions options = {})
      : cluster_(
            testing::TempDir() + "tier-keys-" +
                testing::UnitTest::GetInstance()->current_test_info()->name(),
            WithRevocation(std::move(options))) {}

  void SetUp() override {
    cluster_.SetOrganisations(kBothOrganisations);
    cluster_.SetCallerKey(kKey);
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  static TierOptions WithRevocation(TierOptions options) {
    options.settings["key_revocation_time_ms"] = kKeyRevocationTime.count();
    return options;
  }

  http::status StatusOf(size_t entry, const std::string& key) {
    cluster_.SetCallerKey(key);
    const auto reply = cluster_.SendRequest(entry, "GET", "/all/x");
    return reply ? reply->result() : http::status::unknown;
  }

  // Expects that no process has written a key to its log or metrics, and that
  // no server has received one.
  void ExpectKeysAreNotShown() {
    std::string text = cluster_.Logs();
    for (size_t i = 0; i < kEntryNodes; ++i) {
      text += cluster_.EntryMetrics(i);
    }
    for (size_t i = 0; i < kControlVms; ++i) {
      text += cluster_.ControlMetrics(i);
    }
    for (const std::string& it : cluster_.ServerRequests()) {
      text += it;
    }
    EXPECT_THAT(text, HasSubstr("X-Tenant: first"));
    EXPECT_THAT(text, Not(HasSubstr(kKey)));
    EXPECT_THAT(text, Not(HasSubstr(kOtherKey)));
  }

  TierCluster cluster_;
};

// The first entry node gathers for the second one.
class GatherKeysTest : public TierKeysTest {
 protected:
  GatherKeysTest()
      : TierKeysTest({/*connection_limit=*/3,
                      /*servers_in_first_domain=*/true,
                      {}}) {}
};

// Guards against callers without access that are served or told to come back,
// and against keys in logs, metrics, errors and requests to servers.
TEST_F(TierKeysTest, OnlyKnownKeysHaveAccess) {
  EXPECT_EQ(StatusOf(0, kKey), http::status::ok);
  EXPECT_EQ(StatusOf(0, kOtherKey), http::status::ok);
  EXPECT_EQ(StatusOf(0, "key-of-nobody"), http::status::unauthorized);
  EXPECT_EQ(StatusOf(0, ""), http::status::unauthorized);
  const auto refused = cluster_.CallControl(
      0, "POST", "/v1/config/replace",
      R"({"version":9,"routes":[],"services":[],"tenants":[{"name":"a",)"
      R"("api_keys":["key-of-first-organisation"]},{"name":"b",)"
      R"("api_keys":["key-of-first-organisation"]}]})");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result(), http::status::bad_request);
  EXPECT_THAT(refused->body(), HasSubstr("organisation 'a'"));
  EXPECT_THAT(refused->body(), Not(HasSubstr(kKey)));
  const auto malformed = cluster_.CallControl(
      0, "POST", "/v1/config/replace",
      R"({"version":9,"tenants":[{"api_keys":["key-of-first-organisation)");
  ASSERT_TRUE(malformed);
  EXPECT_EQ(malformed->result(), http::status::bad_request);
  EXPECT_THAT(malformed->body(), Not(HasSubstr(kKey)));
  ExpectKeysAreNotShown();
}

// Guards against a key that travels to the gathering node, and against servers
// that are not told the organisation by it.
TEST_F(GatherKeysTest, OrganisationTravelsWithGatheredRequests) {
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_EQ(StatusOf(i, kKey), http::status::ok);
  }
  for (const std::string& it : cluster_.ServerRequests()) {
    EXPECT_THAT(it, HasSubstr("X-Tenant: first"));
    EXPECT_THAT(it, Not(HasSubstr("Gbr-Gather")));
  }
  ExpectKeysAreNotShown();
}

// Guards against a key that is still served after it was taken away: at a node
// in contact, and at one that was suspended, with requests in its sockets.
TEST_F(TierKeysTest, RevokedKeyIsNotServedByPausedNode) {
  cluster_.Entry(1).Signal(SIGSTOP);
  cluster_.SetOrganisations(kSecondOrganisation);
  ASSERT_TRUE(cluster_.PutRoutes(6));
  std::this_thread::sleep_for(kKeyRevocationTime);
  EXPECT_EQ(StatusOf(0, kKey), http::status::unauthorized);
  // The requests wait in the sockets of the paused node.
  cluster_.SetCallerKey(kKey);
  const std::map<std::string, int> before = cluster_.Executions();
  std::vector<http::status> statuses(8, http::status::unknown);
  std::vector<std::thread> callers;
  callers.reserve(statuses.size());
  for (http::status& it : statuses) {
    callers.emplace_back([this, &it] {
      const auto reply = cluster_.SendRequest(1, "POST", "/one/x", seconds(10));
      it = reply ? reply->result() : http::status::unknown;
    });
  }
  std::this_thread::sleep_for(milliseconds(500));
  cluster_.Entry(1).Signal(SIGCONT);
  for (std::thread& it : callers) {
    it.join();
  }
  EXPECT_EQ(cluster_.Executions(), before);
  for (const http::status it : statuses) {
    EXPECT_TRUE(it == http::status::service_unavailable ||
                it == http::status::unauthorized)
        << it;
  }
  // The node serves the other organisation as soon as it is in contact again.
  cluster_.SetCallerKey(kOtherKey);
  EXPECT_TRUE(cluster_.WaitForCompleteAnswer(1, seconds(10)));
}

// Guards against a node that serves keys for longer than the bound while no
// leader can confirm that its routes are the newest ones.
TEST_F(TierKeysTest, KeysAreRefusedWithoutLeader) {
  cluster_.Control(0).Signal(SIGSTOP);
  cluster_.Control(1).Signal(SIGSTOP);
  // A leader that still runs confirms the routes until its lease ends.
  std::this_thread::sleep_for(kLeaseTime + kKeyRevocationTime);
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_EQ(StatusOf(i, kKey), http::status::service_unavailable);
    EXPECT_EQ(StatusOf(i, "key-of-nobody"), http::status::service_unavailable);
    EXPECT_GE(MetricValue(cluster_.EntryMetrics(i),
                          "gbr_requests_not_confirmed_total"),
              2);
  }
  cluster_.Control(0).Signal(SIGCONT);
  cluster_.Control(1).Signal(SIGCONT);
  cluster_.SetCallerKey(kKey);
  for (size_t i = 0; i < kEntryNodes; ++i) {
    EXPECT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
  }
}

}  // namespace
}  // namespace gooseberryrock::process_test
