// Tests of the query state machine.

#include "gooseberryrock/query/query_machine.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "gooseberryrock/query/attempt_budget.h"

namespace gooseberryrock::query {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;

constexpr Snapshot kPinned{1, 10};
constexpr Snapshot kNewer{1, 11};

class QueryMachineTest : public testing::Test {
 protected:
  // Starts a query over `shards` shards and routes each attempt to a server.
  QueryEffects Start(size_t shards, bool idempotent = true) {
    state.request.idempotent = idempotent;
    state.request.row_limit = 100;
    state.request.deadline = now + milliseconds(200);
    state.policy.hedge_delay = milliseconds(20);
    state.plan = Plan(kPinned, shards);
    return Routed(StartQuery(state, ids, budget, now));
  }

  static QueryPlan Plan(Snapshot snapshot, size_t shards) {
    QueryPlan plan{snapshot, {}, shards};
    for (size_t i = 0; i < shards; ++i) {
      plan.shards.push_back({"s" + std::to_string(i)});
    }
    return plan;
  }

  QueryEffects Routed(QueryEffects effects) {
    for (const AttemptToSend& it : effects.send) {
      OnAttemptRouted(state, it.id, {"server" + std::to_string(it.id)}, now);
    }
    return effects;
  }

  QueryEffects Reply(const AttemptToSend& to,
                     std::vector<std::string> rows = {"row"}) {
    return Routed(OnReply(
        state, {to.id, to.shard, to.snapshot, std::move(rows), true, true}, ids,
        budget, now));
  }

  QueryEffects Fail(const AttemptToSend& to, AttemptFailure failure) {
    return Routed(OnAttemptFailed(state, to.id, failure, ids, budget, now));
  }

  QueryEffects TimerAt(milliseconds time) {
    now = state.started + time;
    return Routed(OnTimer(state, ids, budget, now));
  }

  QueryState state;
  AttemptIdSource ids;
  AttemptBudget budget{.share = 0.1, .capacity = 20, .tokens = 5};
  SteadyTime now{std::chrono::seconds(100)};
};

// Guards against merging rows of another snapshot or shard, and against a query
// that waits until its deadline after it dropped such a reply.
TEST_F(QueryMachineTest, ReplyThatDoesNotFitIsAFailedAttempt) {
  const SubqueryReply replies[] = {{0, {"s0"}, kNewer, {"bad"}, true, true},
                                   {0, {"s9"}, kPinned, {"bad"}, true, true},
                                   {0, {"s0"}, kPinned, {"bad"}, true, false}};
  for (SubqueryReply reply : replies) {
    state = {};
    const QueryEffects started = Start(1);
    reply.attempt = started.send[0].id;
    const QueryEffects retry = OnReply(state, reply, ids, budget, now);
    ASSERT_EQ(retry.send.size(), 1U);
    Routed(retry);
    const QueryEffects done = Reply(retry.send[0]);
    ASSERT_TRUE(done.answer);
    EXPECT_EQ(done.answer->status, AnswerStatus::kComplete);
    EXPECT_THAT(done.answer->rows, ElementsAre("row"));
  }
}

// Guards against merging a late or duplicate reply.
TEST_F(QueryMachineTest, ReplyToFinishedAttemptIsDropped) {
  const QueryEffects started = Start(2);
  Reply(started.send[0]);
  EXPECT_FALSE(Reply(started.send[0]).answer);
  EXPECT_EQ(state.dropped_replies, 1U);
  const QueryEffects done = Reply(started.send[1]);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->rows.size(), 2U);
}

// Guards against mixing two snapshots when a replica drops the pinned one.
TEST_F(QueryMachineTest, LostSnapshotStartsAllShardsAgain) {
  budget.tokens = 0;
  const QueryEffects started = Start(2);
  Reply(started.send[0], {"old"});
  const QueryEffects lost = Fail(started.send[1], AttemptFailure::kNoSnapshot);
  ASSERT_TRUE(lost.find_newer_snapshot);
  ASSERT_FALSE(lost.answer);
  const QueryEffects again =
      Routed(OnNewerSnapshot(state, Plan(kNewer, 2), ids, now));
  ASSERT_EQ(again.send.size(), 2U);
  EXPECT_EQ(again.send[0].snapshot, kNewer);
  Reply(again.send[0], {"new0"});
  const QueryEffects done = Reply(again.send[1], {"new1"});
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->snapshot, kNewer);
  EXPECT_THAT(done.answer->rows, ElementsAre("new0", "new1"));
}

// Guards against a restart while another replica still has the snapshot.
TEST_F(QueryMachineTest, LostSnapshotTriesAnotherReplicaFirst) {
  const QueryEffects started = Start(2);
  const QueryEffects retry = Fail(started.send[1], AttemptFailure::kNoSnapshot);
  EXPECT_FALSE(retry.find_newer_snapshot);
  EXPECT_EQ(retry.send.size(), 1U);
}

// Guards against a query that hangs or loses received rows if there is no
// better snapshot.
TEST_F(QueryMachineTest, WithoutBetterSnapshotTheAnswerIsPartial) {
  budget.tokens = 0;
  const QueryEffects started = Start(3);
  Reply(started.send[0]);
  Reply(started.send[1]);
  Fail(started.send[2], AttemptFailure::kNoSnapshot);
  QueryPlan worse = Plan(kNewer, 3);
  worse.covered = 2;
  const QueryEffects done = OnNewerSnapshot(state, worse, ids, now);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kPartial);
  EXPECT_EQ(done.answer->snapshot, kPinned);
  EXPECT_THAT(done.answer->missing_shards, ElementsAre(ShardId{"s2"}));
}

// Guards against "not run" after a restart if attempts before it have run.
TEST_F(QueryMachineTest, RestartRemembersThatShardsRan) {
  budget.tokens = 0;
  const QueryEffects started = Start(2);
  Reply(started.send[0]);
  Fail(started.send[1], AttemptFailure::kNoSnapshot);
  const QueryEffects again =
      Routed(OnNewerSnapshot(state, Plan(kNewer, 2), ids, now));
  Fail(again.send[0], AttemptFailure::kRefused);
  const QueryEffects done = Fail(again.send[1], AttemptFailure::kRefused);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kOutcomeUnknown);
}

// Guards against listing a shard twice, or not at all, if both the server and
// the row limit omit rows.
TEST_F(QueryMachineTest, MissingShardsAreNamedOnce) {
  const QueryEffects started = Start(3);
  state.request.row_limit = 2;
  OnReply(state,
          {started.send[0].id, {"s0"}, kPinned, {"a", "b", "c"}, false, true},
          ids, budget, now);
  Reply(started.send[1], {"d"});
  const QueryEffects done = Reply(started.send[2], {});
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kPartial);
  EXPECT_EQ(done.answer->shards_total, 3U);
  EXPECT_THAT(done.answer->missing_shards,
              ElementsAre(ShardId{"s0"}, ShardId{"s1"}));
}

// Guards against a complete answer from a reply that reports missing rows.
TEST_F(QueryMachineTest, IncompleteReplyLowersCoverage) {
  const QueryEffects started = Start(1);
  const QueryEffects done =
      OnReply(state, {started.send[0].id, {"s0"}, kPinned, {"a"}, false, true},
              ids, budget, now);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kPartial);
  EXPECT_EQ(done.answer->reason, AnswerReason::kBackendServerError);
}

// Guards against "not run" after an attempt with an unknown outcome.
TEST_F(QueryMachineTest, AmbiguousThenRefusedIsNotNotRun) {
  const QueryEffects started = Start(1);
  const QueryEffects retry =
      Fail(started.send[0], AttemptFailure::kConnectionLost);
  ASSERT_EQ(retry.send.size(), 1U);
  budget.tokens = 0;
  const QueryEffects done = Fail(retry.send[0], AttemptFailure::kRefused);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kOutcomeUnknown);
}

// Guards against "not run" when one of two shards ran.
TEST_F(QueryMachineTest, OneShardRanAndAnotherRefused) {
  budget.tokens = 0;
  const QueryEffects started = Start(2);
  Fail(started.send[0], AttemptFailure::kRefused);
  const QueryEffects done = Reply(started.send[1]);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kPartial);
}

// Guards against "not run" for a routed attempt that is open at the deadline:
// it may be queued for a connection or running at the server.
TEST_F(QueryMachineTest, RoutedAttemptAtTheDeadlineIsUnknown) {
  Start(1);
  const QueryEffects done = TimerAt(milliseconds(195));
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kOutcomeUnknown);
  EXPECT_EQ(done.cancel.size(), 1U);
}

// Guards against "outcome unknown" for a request that was refused, even if the
// refusal arrives after the deadline.
TEST_F(QueryMachineTest, RefusalAfterTheDeadlineIsNotRun) {
  const QueryEffects started = Start(1);
  now += milliseconds(250);
  const QueryEffects done = Fail(started.send[0], AttemptFailure::kRefused);
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kNotRun);
  EXPECT_EQ(done.answer->reason, AnswerReason::kDeadlinePassed);
}

// Guards against running a non-idempotent request twice.
TEST_F(QueryMachineTest, NonIdempotentRequestIsSentOnce) {
  const QueryEffects started = Start(1, /*idempotent=*/false);
  EXPECT_TRUE(TimerAt(milliseconds(100)).send.empty());
  const QueryEffects done =
      Fail(started.send[0], AttemptFailure::kConnectionLost);
  EXPECT_TRUE(done.send.empty());
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kOutcomeUnknown);
}

// Guards against abandoning a non-idempotent request that did not run.
TEST_F(QueryMachineTest, NonIdempotentRequestThatWasRefusedIsRetried) {
  const QueryEffects started = Start(1, /*idempotent=*/false);
  const QueryEffects retry = Fail(started.send[0], AttemptFailure::kRefused);
  EXPECT_EQ(retry.send.size(), 1U);
}

// Guards against server time spent on the slower of two hedged attempts.
TEST_F(QueryMachineTest, LoserOfAHedgeIsCancelled) {
  const QueryEffects started = Start(2);
  const QueryEffects hedge = TimerAt(milliseconds(20));
  ASSERT_EQ(hedge.send.size(), 2U);
  const QueryEffects won = Reply(hedge.send[0]);
  ASSERT_EQ(won.cancel.size(), 1U);
  EXPECT_EQ(won.cancel[0].id, started.send[0].id);
}

// Guards against routing an attempt after its query has finished: unless its id
// is cancelled, the runtime looks up a deleted query.
TEST_F(QueryMachineTest, UnroutedAttemptIsCancelledWithoutServer) {
  state.request.deadline = now + milliseconds(200);
  state.plan = Plan(kPinned, 1);
  const QueryEffects started = StartQuery(state, ids, budget, now);
  const QueryEffects done = TimerAt(milliseconds(195));
  ASSERT_EQ(done.cancel.size(), 1U);
  EXPECT_EQ(done.cancel[0].id, started.send[0].id);
  EXPECT_TRUE(done.cancel[0].server.empty());
  ASSERT_TRUE(done.answer);
  EXPECT_EQ(done.answer->status, AnswerStatus::kNotRun);
  EXPECT_FALSE(OnAttemptRouted(state, started.send[0].id, {"late"}, now));
}

// Guards against a retry storm while every server fails.
TEST_F(QueryMachineTest, RetriesStayWithinTheBudget) {
  size_t sent = 0;
  constexpr size_t kQueries = 1000;
  for (size_t i = 0; i < kQueries; ++i) {
    state = {};
    std::vector<AttemptToSend> open = Start(1).send;
    while (!open.empty()) {
      ++sent;
      open = Fail(open[0], AttemptFailure::kConnectionLost).send;
    }
  }
  EXPECT_LE(sent, kQueries * 11 / 10 + 5);
}

}  // namespace
}  // namespace gooseberryrock::query
