// Changes of backend servers between cold and warm.

#include "gooseberryrock/directory/cold_server.h"

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "peer.pb.h"

namespace gooseberryrock::directory {
namespace {

using std::chrono::seconds;

const SteadyTime kStart{};
const NodeId kA{"a"};
const NodeId kB{"b"};

ServerRecord Server(uint64_t sequence, bool cold, uint64_t incarnation = 1) {
  ServerRecord record;
  record.id.value = "1";
  record.incarnation = incarnation;
  record.state = ServerState::kReady;
  record.sequence = sequence;
  record.cold = cold;
  record.service.value = "chairs";
  record.failure_domain.value = "x";
  record.host = "127.0.0.1";
  record.port = 80;
  return record;
}

class ColdServerTest : public testing::Test {
 protected:
  bool Announce(const ServerRecord& announced,
                const NodeId& node = kA,
                SteadyTime now = kStart) {
    return AcceptAnnouncement(
        directory_, NumberColdChange(directory_, announced), node, now);
  }

  bool IsCold() const { return directory_.entries.at({"1"}).record.cold; }

  Directory directory_;
};

// Guards against announcements that are sent to all nodes although only the
// countdown or the number has changed, and against a server that expires since.
TEST_F(ColdServerTest, CountdownIsNoChange) {
  EXPECT_TRUE(Announce(Server(1, true)));
  for (uint64_t i = 2; i < 50; ++i) {
    EXPECT_FALSE(Announce(Server(i, true), kA, kStart + seconds(i)));
  }
  EXPECT_EQ(directory_.change_count, 1U);
  EXPECT_EQ(directory_.entries.at({"1"}).renewed_at, kStart + seconds(49));
}

// Guards against a change that is not passed on, and against a late
// announcement that reverts it.
TEST_F(ColdServerTest, NumberOrdersChanges) {
  EXPECT_TRUE(Announce(Server(1, true)));
  EXPECT_TRUE(Announce(Server(9, false)));
  EXPECT_FALSE(Announce(Server(8, true)));
  EXPECT_FALSE(IsCold());
  EXPECT_FALSE(Announce(Server(10, false)));
  EXPECT_TRUE(Announce(Server(11, true)));
  EXPECT_FALSE(Announce(Server(10, false)));
  EXPECT_TRUE(IsCold());
  // A new process starts to count again.
  EXPECT_TRUE(Announce(Server(1, false, 2)));
  EXPECT_FALSE(IsCold());
}

// Guards against two control VMs that keep different records because a late
// announcement reached one of them.
TEST_F(ColdServerTest, LateAnnouncementToAnotherNodeIsNotPreferred) {
  EXPECT_TRUE(Announce(Server(1, true)));
  EXPECT_TRUE(Announce(Server(9, false)));
  Directory other;
  ServerRecord late = Server(5, true);
  late.owner = kB;
  late.owner_epoch = 7;
  MergeRecord(other, late, kB, kStart);
  EXPECT_FALSE(MergeRecord(directory_, late, kB, kStart));
  EXPECT_TRUE(
      MergeRecord(other, directory_.entries.at({"1"}).record, kA, kStart));
  EXPECT_FALSE(other.entries.at({"1"}).record.cold);
}

// Guards against a server that counts no announcements and would be ignored
// after it has moved to another control VM.
TEST_F(ColdServerTest, UncountedAnnouncementsRenewAndMove) {
  EXPECT_TRUE(Announce(Server(7, false)));
  EXPECT_FALSE(Announce(Server(0, false), kA, kStart + seconds(1)));
  EXPECT_TRUE(Announce(Server(0, false), kB, kStart + seconds(2)));
  EXPECT_EQ(directory_.entries.at({"1"}).record.owner, kB);
}

// Guards against nodes that do not learn that a server is cold.
TEST_F(ColdServerTest, ColdIsPartOfTheRecordAndItsHash) {
  ServerRecord cold = Server(1, true);
  cold.owner = kA;
  cold.owner_epoch = 1;
  EXPECT_EQ(proto::FromMessage(proto::ToMessage(cold)), cold);
  ServerRecord warm = cold;
  warm.cold = false;
  EXPECT_NE(RecordHash(cold), RecordHash(warm));
}

}  // namespace
}  // namespace gooseberryrock::directory
