// Choice of the server for an attempt.

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

// Guards against traffic between failure domains that buys nothing.
TEST_F(ChooseServerTest, OwnDomainFirst) {
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Choose(), "s-0");
  }
  pool_.servers[0].stats.outstanding = 1;
  EXPECT_EQ(Choose(), "s-0");
}

// Guards against a paused, slow, full or failing server that keeps its work.
TEST_F(ChooseServerTest, OtherDomainWhereItPays) {
  pool_.servers[0].stats.overdue = 1;
  EXPECT_NE(Choose(), "s-0");
  pool_.servers[0].stats = {};
  pool_.servers[0].stats.slowness = 6;
  pool_.servers[0].stats.counted_at = kStart;
  EXPECT_NE(Choose(), "s-0");
  pool_.servers[0].stats = {};
  pool_.servers[0].stats.outstanding = 9;
  EXPECT_NE(Choose(), "s-0");
}

// Guards against a server whose connections belong to other nodes that is given
// work, and against a service without any server when the limits leave a node
// none: 85 nodes and 74 connections to each server.
TEST_F(ChooseServerTest, ServerWithoutConnectionsGetsNoWork) {
  pool_.servers[0].connection_share = 0;
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(Choose(), "s-0");
  }
  KeepOneReachable(pool_, 1);
  EXPECT_EQ(pool_.servers[0].connection_share, 0U);
  for (PoolServer& it : pool_.servers) {
    it.connection_share = 0;
  }
  EXPECT_TRUE(IsUnavailable(pool_, kStart));
  std::set<std::string> kept;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ServicePool pool = pool_;
    KeepOneReachable(pool, seed);
    EXPECT_FALSE(IsUnavailable(pool, kStart));
    for (const PoolServer& it : pool.servers) {
      if (it.TakesWork()) {
        kept.insert(it.id.value);
      }
    }
  }
  EXPECT_EQ(kept.size(), 3U);
}

// Guards against one server that gets all the work of a lost one.
TEST_F(ChooseServerTest, EqualServersShare) {
  pool_.servers[0].usable = false;
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i) {
    ++chosen[Choose()];
  }
  EXPECT_GT(chosen["s-1"], 60);
  EXPECT_GT(chosen["s-2"], 60);
}

// Guards against a server that failed and is never tried again, and against
// many requests that try it at once.
TEST_F(ChooseServerTest, FailedServerIsTriedOnceWhenDue) {
  pool_.servers[2].stats.failures_in_row = 1;
  pool_.servers[2].stats.next_probe = kStart;
  EXPECT_EQ(Choose(), "s-2");
  EXPECT_EQ(Choose(), "s-0");
}

// Guards against a request that is sent to the same server twice.
TEST_F(ChooseServerTest, ExcludedServersAreLeftOut) {
  const std::vector<BackendServerId> tried = {{"s-0"}, {"s-1"}};
  selection_.excluded = tried;
  EXPECT_EQ(Choose(), "s-2");
  pool_.servers[2].usable = false;
  EXPECT_EQ(Choose(), "");
}

// Guards against a shard that counts as lost while a server responds.
TEST_F(ChooseServerTest, UnavailableOnlyWhenNoServerResponds) {
  EXPECT_FALSE(IsUnavailable(pool_, kStart));
  for (PoolServer& it : pool_.servers) {
    it.stats.failures_in_row = 1;
    it.stats.next_probe = kStart + Ms(10);
  }
  EXPECT_TRUE(IsUnavailable(pool_, kStart));
  EXPECT_FALSE(IsUnavailable(pool_, kStart + Ms(10)));
}

}  // namespace
}  // namespace gooseberryrock::relay
