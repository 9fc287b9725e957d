// Tests which servers accept requests.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "gooseberryrock/entry/known_servers.h"

namespace gooseberryrock::entry {
namespace {

constexpr SteadyTime kNow = SteadyTime(std::chrono::hours(1));

directory::ServerRecord Record(const std::string& id,
                               uint64_t incarnation,
                               directory::ServerState state,
                               uint16_t port = 80) {
  directory::ServerRecord record;
  record.id = {id};
  record.incarnation = incarnation;
  record.state = state;
  record.service = {"s"};
  record.host = "10.0.0.1";
  record.port = port;
  return record;
}

constexpr auto kReady = directory::ServerState::kReady;
constexpr auto kDraining = directory::ServerState::kDraining;
constexpr auto kGone = directory::ServerState::kGone;

class KnownServersTest : public testing::Test {
 protected:
  std::vector<ServerChange> Merge(const directory::ServerRecord& record) {
    return MergeRecords(known_servers_, {record}, kNow);
  }

  KnownServers known_servers_;
};

// Guards against sending new requests to a draining server, including when an
// earlier announcement arrives late.
TEST_F(KnownServersTest, DrainingServerStaysUnused) {
  EXPECT_TRUE(Merge(Record("a", 1, kReady)).at(0).usable);
  EXPECT_FALSE(Merge(Record("a", 1, kDraining)).at(0).usable);
  EXPECT_TRUE(Merge(Record("a", 1, kReady)).empty());
  EXPECT_FALSE(Merge(Record("a", 1, kGone)).at(0).usable);
  EXPECT_TRUE(Merge(Record("a", 2, kReady)).at(0).usable);
}

// Guards against sending requests to a server whose address is now used by
// another one.
TEST_F(KnownServersTest, NewestServerOwnsTheAddress) {
  Merge(Record("a", 1, kReady));
  const auto changes = Merge(Record("b", 2, kReady));
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].record.id.value, "a");
  EXPECT_FALSE(changes[0].usable);
  EXPECT_TRUE(changes[1].usable);
}

// Guards against a delayed announcement that restores the previous server of an
// address.
TEST_F(KnownServersTest, LateAnnouncementDoesNotTakeTheAddress) {
  Merge(Record("b", 2, kReady));
  EXPECT_FALSE(Merge(Record("a", 1, kReady)).at(0).usable);
}

// Guards against a node that serves nothing after a power loss until all
// servers have announced themselves, and against using a server that has left
// in the meantime.
TEST_F(KnownServersTest, RememberedServersAreUsedUntilTheyAnnounceThemselves) {
  using std::chrono::seconds;
  const std::vector<directory::ServerRecord> records = {
      Record("a", 1, kReady, 80), Record("b", 1, kReady, 81),
      Record("c", 1, kReady, 82), Record("d", 1, kReady, 83)};
  Merge(Record("d", 2, kDraining, 83));
  const auto used =
      AddRememberedServers(known_servers_, records, kNow + seconds(2));
  ASSERT_EQ(used.size(), 3U);
  EXPECT_TRUE(used[0].usable);
  // Server a announces itself, b drains, and another server uses the address of
  // c.
  EXPECT_TRUE(Merge(Record("a", 1, kReady, 80)).at(0).usable);
  EXPECT_FALSE(Merge(Record("b", 1, kDraining, 81)).at(0).usable);
  const auto replaced = Merge(Record("e", 1, kReady, 82));
  ASSERT_EQ(replaced.size(), 2U);
  EXPECT_EQ(replaced[0].record.id.value, "c");
  EXPECT_FALSE(replaced[0].usable);
  EXPECT_TRUE(
      ExpireRememberedServers(known_servers_, kNow + seconds(3)).empty());
}

// Guards against indefinitely using a server that ended while all VMs were
// down.
TEST_F(KnownServersTest, RememberedServersExpire) {
  using std::chrono::seconds;
  AddRememberedServers(known_servers_, {Record("a", 1, kReady)},
                       kNow + seconds(2));
  EXPECT_TRUE(
      ExpireRememberedServers(known_servers_, kNow + seconds(1)).empty());
  const auto expired_servers =
      ExpireRememberedServers(known_servers_, kNow + seconds(2));
  ASSERT_EQ(expired_servers.size(), 1U);
  EXPECT_FALSE(expired_servers[0].usable);
  EXPECT_TRUE(known_servers_.remembered.empty());
}

}  // namespace
}  // namespace gooseberryrock::entry
