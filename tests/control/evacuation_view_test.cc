// The evacuated failure domains that a control VM reports to entry nodes.

#include "evacuation_view.h"

#include <gtest/gtest.h>

#include "peer.pb.h"

namespace gooseberryrock::control {
namespace {

routes::EvacuatedDomains Evacuated(uint64_t version) {
  return {version, version, {{"b"}}};
}

proto::EntryPollReply Answer(const EvacuationView& view,
                             uint64_t followed,
                             bool current = true) {
  proto::EntryPoll poll;
  poll.set_evacuation_version(followed);
  proto::EntryPollReply reply;
  reply.set_current(current);
  view.AnswerPoll(poll, reply);
  return reply;
}

// Guards against replies that grow with each poll, and against a node that
// falls back because the control VM is behind.
TEST(EvacuationViewTest, OnlyNewsIsSent) {
  EvacuationView view;
  EXPECT_FALSE(Answer(view, 0).has_evacuated());
  view.OnApplied(Evacuated(4));
  view.OnApplied(Evacuated(3));
  const proto::EntryPollReply reply = Answer(view, 3);
  EXPECT_EQ(reply.evacuated().version(), 4U);
  ASSERT_EQ(reply.evacuated().failure_domains_size(), 1);
  EXPECT_EQ(reply.evacuated().failure_domains(0), "b");
  EXPECT_FALSE(Answer(view, 4).has_evacuated());
  EXPECT_FALSE(Answer(view, 5).has_evacuated());
}

// Guards against a node that starts and relies on a control VM that has lost
// its disk, or has just started or been suspended.
TEST(EvacuationViewTest, IsKnownOnceTheLeaderConfirmedIt) {
  EvacuationView view;
  view.OnApplied(Evacuated(1));
  EXPECT_FALSE(Answer(view, 0).evacuation_known());
  EXPECT_TRUE(Answer(view, 0).evacuation_unconfirmed());
  view.OnConfirmed(Evacuated(2));
  EXPECT_TRUE(Answer(view, 0).evacuation_known());
  EXPECT_FALSE(Answer(view, 0).evacuation_unconfirmed());
  EXPECT_EQ(Answer(view, 0).evacuated().version(), 2U);
  EXPECT_FALSE(Answer(view, 0, /*current=*/false).evacuation_known());
}

// Guards against nodes that send requests to evacuated servers after a loss of
// power, before the order at the end of the log is known to be committed, and
// against nodes that wait although no order was ever given.
TEST(EvacuationViewTest, OrdersInTheLogAreUnconfirmed) {
  EvacuationView view;
  EXPECT_FALSE(Answer(view, 0).evacuation_unconfirmed());
  view.OnPending();
  EXPECT_TRUE(Answer(view, 0).evacuation_unconfirmed());
  view.OnConfirmed({});
  EXPECT_FALSE(Answer(view, 0).evacuation_unconfirmed());
}

}  // namespace
}  // namespace gooseberryrock::control
