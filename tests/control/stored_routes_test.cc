// Routes in the replicated state machine.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "control.pb.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/control/state_machine.h"

namespace gooseberryrock::control {
namespace {

class StoredRoutesTest : public testing::Test {
 protected:
  // Puts routes and returns the stored version from the reply.
  uint64_t Put(uint64_t version, const std::string& text) {
    proto::ControlEntry entry;
    auto& document = *entry.mutable_put_routes()->mutable_document();
    document.set_version(version);
    document.set_compressed_text(text);
    proto::ForwardReply reply;
    reply.ParseFromString(machine_.apply(entry.SerializeAsString()));
    return reply.put_routes().version();
  }

  ControlState state_;
  std::vector<uint64_t> reported_;
  StateMachine machine_ = MakeStateMachine(
      state_,
      [](const auto& /*catalog*/) {},
      [this](const StoredRoutes& it) { reported_.push_back(it.version); });
};

// Guards against an older or equal version that replaces the stored one, and
// against resent calls that fail.
TEST_F(StoredRoutesTest, HighestVersionWins) {
  EXPECT_EQ(Put(5, "five"), 5U);
  EXPECT_EQ(Put(3, "three"), 5U);
  EXPECT_EQ(Put(5, "other content"), 5U);
  EXPECT_EQ(state_.routes.compressed_text, "five");
  EXPECT_EQ(Put(9, "nine"), 9U);
  EXPECT_EQ(state_.routes.compressed_text, "nine");
  EXPECT_EQ(reported_, (std::vector<uint64_t>{5, 9}));
}

// Guards against routes that are lost by log compaction.
TEST_F(StoredRoutesTest, SnapshotKeepsThem) {
  Put(7, "seven");
  const std::string snapshot = machine_.snapshot();
  machine_.reset();
  EXPECT_EQ(state_.routes.version, 0U);
  machine_.restore(snapshot);
  EXPECT_EQ(state_.routes.version, 7U);
  EXPECT_EQ(state_.routes.compressed_text, "seven");
}

}  // namespace
}  // namespace gooseberryrock::control
