// Which servers take work.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "gooseberryrock/entry/server_book.h"

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

class ServerBookTest : public testing::Test {
 protected:
  std::vector<ServerChange> Merge(const directory::ServerRecord& record) {
    return MergeRecords(book_, {record}, kNow);
  }

  ServerBook book_;
};

// Guards against new work for a server that is leaving, also when an earlier
// announcement arrives late.
TEST_F(ServerBookTest, DrainingServerStaysOut) {
  EXPECT_TRUE(Merge(Record("a", 1, kReady)).at(0).usable);
  EXPECT_FALSE(Merge(Record("a", 1, kDraining)).at(0).usable);
  EXPECT_TRUE(Merge(Record("a", 1, kReady)).empty());
  EXPECT_FALSE(Merge(Record("a", 1, kGone)).at(0).usable);
  EXPECT_TRUE(Merge(Record("a", 2, kReady)).at(0).usable);
}

// Guards against requests for a server whose address another one has now.
TEST_F(ServerBookTest, NewestServerHoldsTheAddress) {
  Merge(Record("a", 1, kReady));
  const auto changes = Merge(Record("b", 2, kReady));
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].record.id.value, "a");
  EXPECT_FALSE(changes[0].usable);
  EXPECT_TRUE(changes[1].usable);
}

// Guards against an announcement that was held up and brings back the earlier
// server of an address.
TEST_F(ServerBookTest, LateAnnouncementDoesNotTakeTheAddress) {
  Merge(Record("b", 2, kReady));
  EXPECT_FALSE(Merge(Record("a", 1, kReady)).at(0).usable);
}

// Guards against a node that serves nothing after a loss of power until all
// servers have announced themselves, and against a server that is used although
// it has left meanwhile.
TEST_F(ServerBookTest, RememberedServersAreUsedUntilTheyAnnounceThemselves) {
  using std::chrono::seconds;
  const std::vector<directory::ServerRecord> records = {
      Record("a", 1, kReady, 80), Record("b", 1, kReady, 81),
      Record("c", 1, kReady, 82), Record("d", 1, kReady, 83)};
  Merge(Record("d", 2, kDraining, 83));
  const auto used = RememberServers(book_, records, kNow + seconds(2));
  ASSERT_EQ(used.size(), 3U);
  EXPECT_TRUE(used[0].usable);
  // a announces itself, b drains, and the address of c has another server.
  EXPECT_TRUE(Merge(Record("a", 1, kReady, 80)).at(0).usable);
  EXPECT_FALSE(Merge(Record("b", 1, kDraining, 81)).at(0).usable);
  const auto replaced = Merge(Record("e", 1, kReady, 82));
  ASSERT_EQ(replaced.size(), 2U);
  EXPECT_EQ(replaced[0].record.id.value, "c");
  EXPECT_FALSE(replaced[0].usable);
  EXPECT_TRUE(ForgetRemembered(book_, kNow + seconds(3)).empty());
}

// Guards against a server that ended while all VMs were down and is tried for
// ever.
TEST_F(ServerBookTest, RememberedServersAreForgotten) {
  using std::chrono::seconds;
  RememberServers(book_, {Record("a", 1, kReady)}, kNow + seconds(2));
  EXPECT_TRUE(ForgetRemembered(book_, kNow + seconds(1)).empty());
  const auto forgotten = ForgetRemembered(book_, kNow + seconds(2));
  ASSERT_EQ(forgotten.size(), 1U);
  EXPECT_FALSE(forgotten[0].usable);
  EXPECT_TRUE(book_.remembered.empty());
}

}  // namespace
}  // namespace gooseberryrock::entry
