// Evacuated failure domains in the replicated state machine.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "control.pb.h"
#include "gooseberryrock/control/control_machine.h"
#include "gooseberryrock/control/state_machine.h"

namespace gooseberryrock::control {
namespace {

class EvacuationStateTest : public testing::Test {
 protected:
  proto::EvacuationReply Give(const std::string& domain,
                              bool start,
                              uint64_t orders_before) {
    proto::ControlEntry entry;
    entry.mutable_evacuation()->set_failure_domain(domain);
    entry.mutable_evacuation()->set_start(start);
    entry.mutable_evacuation()->set_orders_before(orders_before);
    proto::ForwardReply reply;
    reply.ParseFromString(machine_.apply(entry.SerializeAsString()));
    return reply.evacuation();
  }

  ControlState state_;
  std::vector<uint64_t> reported_;
  StateMachine machine_ = MakeStateMachine(
      state_,
      [](const auto& /*catalog*/) {},
      [](const auto& /*routes*/) {},
      [this](const routes::EvacuatedDomains& it) {
        reported_.push_back(it.version);
      });
};

// Guards against an acknowledged order that has no effect, and against news for
// all nodes when nothing changed.
TEST_F(EvacuationStateTest, OrdersChangeTheSetOnce) {
  EXPECT_EQ(Give("a", true, 0).status(), proto::EVACUATION_APPLIED);
  EXPECT_EQ(Give("a", true, 1).status(), proto::EVACUATION_APPLIED);
  EXPECT_EQ(Give("a", false, 2).status(), proto::EVACUATION_APPLIED);
  EXPECT_EQ(Give("a", true, 0).status(), proto::EVACUATION_OVERTAKEN);
  EXPECT_TRUE(state_.evacuated.domains.empty());
  EXPECT_EQ(reported_, (std::vector<uint64_t>{1, 2}));
}

// Guards against an entry of a faulty sender that stops the log.
TEST_F(EvacuationStateTest, MalformedOrderHasNoEffect) {
  EXPECT_EQ(Give("no name", true, 0).status(),
            proto::EVACUATION_STATUS_UNSPECIFIED);
  EXPECT_EQ(state_.evacuated, routes::EvacuatedDomains());
}

// Guards against orders that are lost by log compaction, or by a disk whose
// contents come as a snapshot.
TEST_F(EvacuationStateTest, SnapshotKeepsThem) {
  Give("a", true, 0);
  Give("b", true, 1);
  Give("b", true, 2);
  const routes::EvacuatedDomains before = state_.evacuated;
  const std::string snapshot = machine_.snapshot();
  machine_.reset();
  EXPECT_EQ(state_.evacuated, routes::EvacuatedDomains());
  machine_.restore(snapshot);
  EXPECT_EQ(state_.evacuated, before);
  EXPECT_EQ(reported_, (std::vector<uint64_t>{1, 2, 2}));
}

}  // namespace
}  // namespace gooseberryrock::control
