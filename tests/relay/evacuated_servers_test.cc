// What an evacuation of failure domains leaves of the servers of a request.

#include "gooseberryrock/relay/evacuated_servers.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "gooseberryrock/relay/choose_server.h"
#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/service_pool.h"

namespace gooseberryrock::relay {
namespace {

const SteadyTime kNow = SteadyTime() + std::chrono::hours(1);

ServicePool Pool(bool first_evacuated, bool second_evacuated) {
  ServicePool pool = MakePool({"s"}, {});
  for (const bool evacuated : {first_evacuated, second_evacuated}) {
    PoolServer& server = pool.servers.emplace_back();
    server.id = {evacuated ? "evacuated" : "open"};
    server.evacuated = evacuated;
  }
  return pool;
}

// Guards against requests to servers of an evacuated failure domain, and
// against a probe that is one: a failed server is due for one.
TEST(EvacuatedServersTest, GetNoRequestsAndNoProbes) {
  ServicePool pool = Pool(true, false);
  pool.servers[0].stats.consecutive_failures = 1;
  std::mt19937_64 random(1);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(ChooseServer(pool, {}, {}, random, kNow), 1U);
  }
  pool.servers[1].evacuated = true;
  EXPECT_EQ(ChooseServer(pool, {}, {}, random, kNow), std::nullopt);
  EXPECT_TRUE(IsUnavailable(pool, Rank::kNormal, kNow));
}

// Guards against a node without a share of any connection that is given one to
// a server of an evacuated failure domain.
TEST(EvacuatedServersTest, OnlyOpenServersAreMadeUsable) {
  ServicePool pool = Pool(true, false);
  pool.servers[0].connection_share = pool.servers[1].connection_share = 0;
  EnsureOneUsableServer(pool, 7);
  EXPECT_EQ(pool.servers[0].connection_share, 0U);
  EXPECT_EQ(pool.servers[1].connection_share, 1U);
}

// Guards against a node that can use no server because the only one with a
// connection for it is cold and used by other nodes.
TEST(EvacuatedServersTest, ColdServerOfOtherNodesIsNotMadeUsable) {
  ServicePool pool = Pool(false, false);
  pool.servers[1].connection_share = 0;
  LimitCold(pool.servers[0].request_limit.cold, ColdShareOf(10, 0), kNow);
  EXPECT_FALSE(pool.servers[0].AcceptsWork());
  EnsureOneUsableServer(pool, 7);
  EXPECT_TRUE(pool.servers[1].AcceptsWork());
}

// Guards against a request that runs in part although its coverage cannot be
// reached, and against refusals for shards that have lost their servers anyway.
TEST(EvacuatedServersTest, CoverageCountsShardsWithOpenServers) {
  ServicePool open = Pool(true, false);
  ServicePool evacuated = Pool(true, true);
  ServicePool empty = MakePool({"s"}, {});
  const std::vector<ServicePool*> two_of_three = {&open, &evacuated, &open};
  EXPECT_TRUE(LeavesCoverage(two_of_three, 0.6));
  EXPECT_FALSE(LeavesCoverage(two_of_three, 0.7));
  const std::vector<ServicePool*> without_servers = {&open, &empty, &empty};
  EXPECT_TRUE(LeavesCoverage(without_servers, 1));
}

}  // namespace
}  // namespace gooseberryrock::relay
