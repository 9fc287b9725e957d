// Tests the selection of a server for an attempt.

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "gooseberryrock/relay/choose_server.h"
#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

class ChooseServerTest : public testing::Test {
 protected:
  ChooseServerTest() : pool_(PoolOf("s", 3)) {
    selection_.target_latency = Ms(100);
  }

  std::string Choose() {
    const auto i =
        ChooseServer(pool_, RelayPolicy(), selection_, random_, kStart);
    return i ? pool_.servers[*i].id.value : "";
  }

  ServicePool pool_;
  Selection selection_;
  std::mt19937_64 random_{1};
};

// Guards against unnecessary traffic between failure domains.
TEST_F(ChooseServerTest, OwnDomainFirst) {
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Choose(), "s-0");
  }
  pool_.servers[0].stats.outstanding = 1;
  EXPECT_EQ(Choose(), "s-0");
}

// Guards against sending requests to a paused, slow, full or failing server.
TEST_F(ChooseServerTest, OtherDomainWhenCheaper) {
  pool_.servers[0].stats.overdue = 1;
  EXPECT_NE(Choose(), "s-0");
  pool_.servers[0].stats = {};
  pool_.servers[0].stats.slowness = 6;
  pool_.servers[0].stats.sampled_at = kStart;
  EXPECT_NE(Choose(), "s-0");
  pool_.servers[0].stats = {};
  pool_.servers[0].stats.outstanding = 9;
  EXPECT_NE(Choose(), "s-0");
}

// Guards against selecting a server to which the node has no connection share,
// and against a service without any server when the connection limit leaves a
// node none: 85 nodes and 74 connections to each server.
TEST_F(ChooseServerTest, ServerWithoutConnectionsGetsNoWork) {
  pool_.servers[0].connection_share = 0;
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(Choose(), "s-0");
  }
  EnsureOneUsableServer(pool_, 1);
  EXPECT_EQ(pool_.servers[0].connection_share, 0U);
  for (PoolServer& it : pool_.servers) {
    it.connection_share = 0;
  }
  EXPECT_TRUE(IsUnavailable(pool_, Rank::kNormal, kStart));
  std::set<std::string> kept;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ServicePool pool = pool_;
    EnsureOneUsableServer(pool, seed);
    EXPECT_FALSE(IsUnavailable(pool, Rank::kNormal, kStart));
    for (const PoolServer& it : pool.servers) {
      if (it.AcceptsWork()) {
        kept.insert(it.id.value);
      }
    }
  }
  EXPECT_EQ(kept.size(), 3U);
}

// Guards against sending all requests of a lost server to a single other one.
TEST_F(ChooseServerTest, EqualServersShareLoad) {
  pool_.servers[0].usable = false;
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i) {
    ++chosen[Choose()];
  }
  EXPECT_GT(chosen["s-1"], 60);
  EXPECT_GT(chosen["s-2"], 60);
}

// Load: the server of the own domain states to be slow for a while. Guards
// against all nodes of the domain leaving it with the same report, and against
// work that stays away after the spell.
TEST_F(ChooseServerTest, WorkLeavesTheDomainGraduallyAndReturns) {
  const auto count_near = [&](double stated, SteadyTime from) {
    int near = 0;
    for (int i = 0; i < 100; ++i) {
      const SteadyTime now = from + Ms(i);
      RecordLoad(pool_.servers[0].stats, {0, 0, 2, stated}, now);
      near += *ChooseServer(pool_, RelayPolicy(), selection_, random_, now) == 0
                  ? 1
                  : 0;
    }
    return near;
  };
  EXPECT_EQ(count_near(1, kStart), 100);
  // The own server takes 37 ms; one elsewhere takes 15 ms and 15 ms for
  // crossing.
  const int in_spell = count_near(2.5, kStart + Ms(100));
  EXPECT_GT(in_spell, 5);
  EXPECT_LT(in_spell, 50);
  EXPECT_GT(count_near(1, kStart + Ms(200)), 70);
  EXPECT_EQ(count_near(1, kStart + Ms(400)), 100);
}

// Guards against damping the move away from a server that does not respond.
TEST_F(ChooseServerTest, SuspectServerIsLeftAtOnce) {
  RecordLoad(pool_.servers[0].stats, {0, 0, 2, 1}, kStart);
  pool_.servers[0].stats.overdue = 1;
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(Choose(), "s-0");
  }
}

// Guards against a failed server that is never probed, and against many
// requests that probe it at once.
TEST_F(ChooseServerTest, FailedServerIsTriedOnceWhenDue) {
  pool_.servers[2].stats.consecutive_failures = 1;
  pool_.servers[2].stats.next_probe = kStart;
  EXPECT_EQ(Choose(), "s-2");
  EXPECT_EQ(Choose(), "s-0");
}

// Guards against sending a request to the same server twice.
TEST_F(ChooseServerTest, ExcludedServersAreLeftOut) {
  const std::vector<BackendServerId> tried = {{"s-0"}, {"s-1"}};
  selection_.excluded = tried;
  EXPECT_EQ(Choose(), "s-2");
  pool_.servers[2].usable = false;
  EXPECT_EQ(Choose(), "");
}

// Guards against treating a shard as lost while one of its servers responds.
TEST_F(ChooseServerTest, UnavailableOnlyWhenNoServerResponds) {
  EXPECT_FALSE(IsUnavailable(pool_, Rank::kNormal, kStart));
  for (PoolServer& it : pool_.servers) {
    it.stats.consecutive_failures = 1;
    it.stats.next_probe = kStart + Ms(10);
  }
  EXPECT_TRUE(IsUnavailable(pool_, Rank::kNormal, kStart));
  EXPECT_FALSE(IsUnavailable(pool_, Rank::kNormal, kStart + Ms(10)));
}

}  // namespace
}  // namespace gooseberryrock::relay
