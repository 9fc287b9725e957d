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

}  // namespace
}  // namespace gooseberryrock::entry
