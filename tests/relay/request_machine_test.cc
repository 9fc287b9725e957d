// Tests the state machine of a request.

#include <gtest/gtest.h>

#include <variant>

#include "relay_fixture.h"

namespace gooseberryrock::relay {
namespace {

const std::string kRecordA(16, 'a');
const std::string kRecordB(16, 'b');
const std::string kRecordC(16, 'c');

// Guards against forwarding a reply early or not at all.
TEST(RelayedRequestTest, FirstReplyIsForwarded) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(true));
  ASSERT_EQ(start.send.size(), 1U);
  EXPECT_EQ(start.send[0].server.value, "s0-0");
  it.Send(start);
  const auto end = it.Reply(start.send[0].number, Success("d", ""));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<RelayedOutcome>(*end.outcome).attempt,
            start.send[0].number);
}

// Guards against executing a non-idempotent request twice.
TEST(RelayedRequestTest, NonIdempotentRequestIsNeverSentAgain) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(false));
  it.Send(start);
  const auto overdue = OnRequestTimer(it.state, it.Context(), kStart + Ms(900));
  EXPECT_TRUE(overdue.send.empty());
  const auto lost = OnAttemptFailed(it.state, start.send[0].number,
                                    it.Context(), kStart + Ms(950));
  EXPECT_TRUE(lost.send.empty());
  ASSERT_TRUE(lost.outcome);
  EXPECT_EQ(std::get<FailedOutcome>(*lost.outcome).reason,
            FailureReason::kConnectionLost);
}

// Guards against reporting a request as not executed when it may have been, and
// against withholding that result when it is true.
TEST(RelayedRequestTest, RefusalIsForwardedOnlyIfNothingRan) {
  RelayFixture it(1);
  auto effects = it.Start(SingleRoute(false));
  for (int refusals = 0; !effects.outcome; ++refusals) {
    ASSERT_LT(refusals, 4);
    ASSERT_EQ(effects.send.size(), 1U);
    it.Send(effects);
    effects = it.Reply(effects.send[0].number, ReplyOf(ReplyKind::kNotRun));
  }
  EXPECT_TRUE(std::holds_alternative<RefusedOutcome>(*effects.outcome));
}

// Guards against giving up a request whose attempt was never sent.
TEST(RelayedRequestTest, UnsentAttemptIsRetriedElsewhere) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(false));
  const auto again = OnAttemptFailed(it.state, start.send[0].number,
                                     it.Context(), kStart + Ms(5));
  ASSERT_EQ(again.send.size(), 1U);
  EXPECT_NE(again.send[0].server, start.send[0].server);
}

// Guards against sending more attempts than the route allows.
TEST(RelayedRequestTest, AttemptsAreLimited) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(true));
  it.Send(start);
  const auto second =
      it.Reply(start.send[0].number, ReplyOf(ReplyKind::kFailure));
  ASSERT_EQ(second.send.size(), 1U);
  it.Send(second);
  const auto end =
      it.Reply(second.send[0].number, ReplyOf(ReplyKind::kFailure));
  EXPECT_TRUE(end.send.empty());
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<RelayedOutcome>(*end.outcome).attempt,
            second.send[0].number);
}

// Guards against holding a request until its deadline when there is no server.
TEST(RelayedRequestTest, RefusedImmediatelyWithoutServer) {
  RelayFixture it(1, 0);
  const auto start = it.Start(SingleRoute(true));
  ASSERT_TRUE(start.outcome);
  EXPECT_GT(std::get<RefusedOutcome>(*start.outcome).retry_after, Ms(0));
}

// Guards against holding a request beyond the route's timeout.
TEST(RelayedRequestTest, EndsAtTimeout) {
  RelayFixture it(1);
  const auto start = it.Start(SingleRoute(true));
  it.Send(start);
  ASSERT_LE(it.state.answer_deadline, kStart + it.route.timeout);
  const auto end =
      OnRequestTimer(it.state, it.Context(), it.state.answer_deadline);
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<FailedOutcome>(*end.outcome).reason,
            FailureReason::kTimeout);
}

// Guards against continuing idempotent work for a caller that has disconnected,
// and against interrupting non-idempotent work such as a booking.
TEST(RelayedRequestTest, DisconnectCancelsOnlyIdempotentRequests) {
  for (const bool idempotent : {true, false}) {
    RelayFixture it(1);
    it.Send(it.Start(SingleRoute(idempotent)));
    const auto gone = OnCallerDisconnected(it.state, kStart);
    ASSERT_EQ(gone.drop.size(), 1U);
    EXPECT_EQ(gone.drop[0].close, idempotent);
  }
}

class GatheredRequestTest : public testing::Test {
 protected:
  GatheredRequestTest() : it_(10) {
    start_ = it_.Start(ShardedRoute());
    it_.Send(start_);
  }

  // Delivers replies for the first attempts of shards [from, to) at `now`.
  RequestEffects Answer(size_t from, size_t to, SteadyTime now) {
    RequestEffects last;
    for (size_t i = from; i < to; ++i) {
      last = it_.Reply(start_.send[i].number,
                       Success("d" + std::to_string(i), kRecordA), now);
    }
    return last;
  }

  RelayFixture it_;
  RequestEffects start_;
};

// Guards against omitting shards that replied in time, and against returning
// records that are not the greatest.
TEST_F(GatheredRequestTest, CompleteAnswerHasTheGreatestRecords) {
  ASSERT_EQ(start_.send.size(), 10U);
  EXPECT_FALSE(Answer(0, 9, kStart + Ms(10)).outcome);
  const auto end = it_.Reply(start_.send[9].number,
                             Success("d9", kRecordC + kRecordB + "rest"));
  ASSERT_TRUE(end.outcome);
  const auto& answer = std::get<GatheredOutcome>(*end.outcome);
  EXPECT_EQ(answer.body, kRecordC + kRecordB);
  EXPECT_EQ(answer.digests.size(), 10U);
  EXPECT_EQ(answer.missing_shards, 0U);
}

// Guards against delaying the answer past the target for a single paused shard.
TEST_F(GatheredRequestTest, PartialAnswerBeforeTargetWithMinCoverage) {
  EXPECT_FALSE(Answer(0, 9, kStart + Ms(10)).outcome);
  EXPECT_FALSE(OnRequestTimer(it_.state, it_.Context(),
                              it_.state.partial_answer_at - Ms(1))
                   .outcome);
  const auto end =
      OnRequestTimer(it_.state, it_.Context(), it_.state.partial_answer_at);
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).missing_shards, 1U);
  EXPECT_LT(it_.state.partial_answer_at, kStart + it_.route.target_latency);
}

// Guards against an answer below the minimum coverage, and against holding back
// a late answer that meets it.
TEST_F(GatheredRequestTest, LateAnswerIsSentAtMinCoverage) {
  EXPECT_FALSE(Answer(0, 8, kStart + Ms(10)).outcome);
  const SteadyTime late = it_.state.partial_answer_at + Ms(50);
  EXPECT_FALSE(OnRequestTimer(it_.state, it_.Context(), late).outcome);
  const auto end = Answer(8, 9, late + Ms(10));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).missing_shards, 1U);
}

// Guards against delaying the answer by the pause of one server: the attempt is
// hedged at another server within the budget.
TEST_F(GatheredRequestTest, OverdueAttemptIsHedgedOnce) {
  Answer(0, 9, kStart + Ms(10));
  const auto hedge = OnRequestTimer(it_.state, it_.Context(), kStart + Ms(45));
  ASSERT_EQ(hedge.send.size(), 1U);
  EXPECT_EQ(hedge.send[0].cause, AttemptCause::kHedge);
  EXPECT_NE(hedge.send[0].server, start_.send[9].server);
  ASSERT_EQ(hedge.overdue.size(), 1U);
  it_.Send(hedge, kStart + Ms(45));
  EXPECT_TRUE(
      OnRequestTimer(it_.state, it_.Context(), kStart + Ms(86)).send.empty());
  const auto end =
      it_.Reply(hedge.send[0].number, Success("h", kRecordB), kStart + Ms(60));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).digests.size(), 10U);
}

// Guards against refusing a request as overloaded after it was parked during
// node startup: 150 ms of a target of 100 ms have passed, but most of its
// deadline is left.
TEST(ParkedRequestTest, RequestBeyondItsTargetStillRuns) {
  RelayFixture it(10);
  const routes::Route route = ShardedRoute();
  std::vector<ServicePool*> pools;
  for (ServicePool& pool : it.pools) {
    pools.push_back(&pool);
  }
  RequestState state =
      MakeRequest(route, pools, it.policy, kStart - Ms(150), kStart + Ms(850));
  const auto start = StartRequest(state, it.Context(), kStart);
  EXPECT_FALSE(start.outcome);
  EXPECT_EQ(start.send.size(), 10U);
}

// Guards against exceeding the limit on extra attempts in a large deployment in
// which each node uses the budget of a node of a small one: 81 nodes that all
// hedge in the same 10 s in which each received 14 requests, with limits of 202
// attempts and a share of 0.2.
TEST(ExtraAttemptTest, LimitIsDividedAmongAllNodes) {
  constexpr uint32_t kNodes = 81;
  constexpr int kRequests = 14;
  RelayPolicy policy;
  policy.extra_attempts = {0.2, 202};
  ServicePool pool = MakePool({"s"}, policy);
  SetBudgetShare(pool, policy, kNodes);
  uint32_t spent = 0;
  for (int n = 0; n < kRequests; ++n) {
    query::RefillBudget(pool.budget, kStart + n * Ms(10000) / kRequests);
    query::EarnBudget(pool.budget, 1);
    while (query::SpendBudget(pool.budget)) {
      ++spent;
    }
  }
  EXPECT_GT(spent, 0U);
  EXPECT_LE(kNodes * spent, 0.2 * kRequests * kNodes + 202);
}

// Guards against extra attempts beyond the budget shared by all nodes.
TEST_F(GatheredRequestTest, NoHedgeWithoutBudget) {
  it_.pools[9].budget.tokens = 0.5;
  Answer(0, 9, kStart + Ms(10));
  EXPECT_TRUE(
      OnRequestTimer(it_.state, it_.Context(), kStart + Ms(45)).send.empty());
}

// Guards against including two replies of the same shard in an answer.
TEST_F(GatheredRequestTest, SecondReplyOfAShardIsDropped) {
  Answer(0, 8, kStart + Ms(10));
  const auto hedge = OnRequestTimer(it_.state, it_.Context(), kStart + Ms(45));
  ASSERT_EQ(hedge.send.size(), 2U);
  it_.Send(hedge, kStart + Ms(45));
  const auto first = Answer(8, 9, kStart + Ms(50));
  EXPECT_EQ(first.drop.size(), 1U);
  const auto end = Answer(9, 10, kStart + Ms(51));
  ASSERT_TRUE(end.outcome);
  EXPECT_EQ(std::get<GatheredOutcome>(*end.outcome).digests.size(), 10U);
}

// Guards against a request waiting for lost shards.
TEST(GatheredLossTest, OneLostShardIsOmittedTwoAreRefused) {
  for (const size_t lost : {1U, 2U}) {
    RelayFixture it(10);
    for (size_t i = 0; i < lost; ++i) {
      for (PoolServer& server : it.pools[i].servers) {
        server.stats.consecutive_failures = 2;
        server.stats.next_probe = kStart + Ms(400);
      }
    }
    const auto start = it.Start(ShardedRoute());
    if (lost == 1) {
      EXPECT_EQ(start.send.size(), 9U);
      EXPECT_FALSE(start.outcome);
    } else {
      ASSERT_TRUE(start.outcome);
      const auto& refused = std::get<RefusedOutcome>(*start.outcome);
      EXPECT_EQ(refused.reason, RefusalReason::kShardsUnavailable);
      EXPECT_GE(refused.retry_after, Ms(400));
    }
  }
}

// Load: one shard has lost servers and its queue grows. Guards against all
// answers waiting for that shard.
TEST(GatheredOverloadTest, BusyShardIsLeftOut) {
  RelayFixture it(10);
  for (PoolServer& server : it.pools[3].servers) {
    server.stats.reported_load = 40;
    server.stats.reported_at = kStart;
  }
  for (int i = 0; i < 30; ++i) {
    RecordReplyTime(it.pools[3], it.policy, Rank::kNormal, Ms(12),
                    kStart - Ms(1));
  }
  it.pools[3].times[RankIndex(Rank::kNormal)].unqueued = Ms(12);
  const auto start = it.Start(ShardedRoute());
  EXPECT_EQ(start.send.size(), 9U);
  EXPECT_FALSE(start.outcome);
}

// Load: more work than all shards can handle. Guards against requests waiting
// in the servers' queues until they are late.
TEST(GatheredOverloadTest, RefusedImmediatelyWithRetryDelay) {
  RelayFixture it(10);
  for (ServicePool& pool : it.pools) {
    for (PoolServer& server : pool.servers) {
      server.stats.reported_load = 40;
      server.stats.reported_at = kStart;
    }
    for (int i = 0; i < 30; ++i) {
      RecordReplyTime(pool, it.policy, Rank::kNormal, Ms(12), kStart - Ms(1));
    }
    pool.times[RankIndex(Rank::kNormal)].unqueued = Ms(12);
  }
  const auto start = it.Start(ShardedRoute());
  ASSERT_TRUE(start.outcome);
  const auto& refused = std::get<RefusedOutcome>(*start.outcome);
  EXPECT_EQ(refused.reason, RefusalReason::kOverloaded);
  EXPECT_GE(refused.retry_after, Ms(50));
  EXPECT_TRUE(start.send.empty());
}

void Stall(PoolServer& server, SteadyTime since) {
  RecordOverdue(server.stats, since);
}

void Fill(PoolServer& server, SteadyTime now) {
  for (int i = 0; i < 20; ++i) {
    RecordResult(server.stats, RelayPolicy(), AttemptResult::kRefused, now,
                 Ms(10), now);
  }
}

// Load: two of ten shards whose servers are silent, full or at rest, where one
// may be missing. Guards against requests that wait until the target latency
// for replies that do not come, and against callers that cannot come back in
// time because they learn of it late.
TEST(GatheredUnresponsiveTest, RefusedBeforeAnythingIsSent) {
  RelayFixture it(10);
  for (size_t i = 0; i < 2; ++i) {
    Stall(it.pools[i].servers[0], kStart - Ms(120));
    Fill(it.pools[i].servers[1], kStart - Ms(10));
    RecordRest(it.pools[i].servers[2].notices, Ms(500), kStart);
  }
  it.pools[0].next_trial = kStart + Ms(1);
  const auto start = it.Start(ShardedRoute());
  EXPECT_TRUE(start.send.empty());
  ASSERT_TRUE(start.outcome);
  const auto& refused = std::get<RefusedOutcome>(*start.outcome);
  EXPECT_EQ(refused.reason, RefusalReason::kShardsUnavailable);
  EXPECT_GE(refused.retry_after, Ms(100));
  EXPECT_LE(refused.retry_after, Ms(200));
  // One request in 200 ms finds out whether the servers respond again.
  EXPECT_EQ(it.Start(ShardedRoute(), kStart + Ms(1)).send.size(), 10U);
  EXPECT_TRUE(it.Start(ShardedRoute(), kStart + Ms(2)).send.empty());
  it.policy.refuse_unresponsive = false;
  EXPECT_EQ(it.Start(ShardedRoute(), kStart + Ms(3)).send.size(), 10U);
}

// Guards against refusing requests that are answered in time: one shard may be
// missing, one server responds, or a pause has just begun.
TEST(GatheredUnresponsiveTest, SentWhileEnoughShardsRespond) {
  const auto is_sent = [](Duration silent, size_t shards, size_t servers) {
    RelayFixture it(10);
    for (size_t i = 0; i < shards; ++i) {
      it.pools[i].next_trial = kStart + Ms(1000);
      for (size_t n = 0; n < servers; ++n) {
        Stall(it.pools[i].servers[n], kStart - silent);
      }
    }
    return it.Start(ShardedRoute()).send.size() == 10;
  };
  EXPECT_TRUE(is_sent(Ms(120), 1, 3));
  EXPECT_TRUE(is_sent(Ms(120), 10, 2));
  EXPECT_TRUE(is_sent(Ms(95), 10, 3));
  EXPECT_FALSE(is_sent(Ms(120), 2, 3));
}

void LimitAll(ServicePool& pool, double per_second, SteadyTime now = kStart) {
  for (PoolServer& it : pool.servers) {
    RecordLimit(it.request_limit, per_second, now, now);
  }
}

// Guards against a request that waits for servers that accept no more, and
// against callers that are not told when to come back.
TEST(RequestMachineTest, RefusedAtOnceWhenAllServersAreLimited) {
  RelayFixture it(1);
  LimitAll(it.pools[0], 1);
  const RequestEffects effects = it.Start(SingleRoute(true));
  EXPECT_TRUE(effects.send.empty());
  const auto* refused = std::get_if<RefusedOutcome>(&*effects.outcome);
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->reason, RefusalReason::kServersLimited);
  EXPECT_GE(refused->retry_after, Ms(1000));
  EXPECT_LE(refused->retry_after, Ms(1500));
}

// Guards against a gathered request that uses up the limits of other shards
// although it is refused for want of too many.
TEST(RequestMachineTest, RefusedRequestUsesNoLimit) {
  RelayFixture it(10);
  LimitAll(it.pools[0], 1);
  LimitAll(it.pools[1], 1);
  LimitAll(it.pools[2], 10, kStart - Ms(1000));
  const RequestEffects effects = it.Start(ShardedRoute());
  EXPECT_TRUE(effects.send.empty());
  ASSERT_TRUE(effects.outcome);
  EXPECT_TRUE(std::holds_alternative<RefusedOutcome>(*effects.outcome));
  for (const PoolServer& server : it.pools[2].servers) {
    EXPECT_EQ(server.request_limit.tokens, 0) << "tokens were refilled or used";
    EXPECT_TRUE(MaySend(server.request_limit, Rank::kUrgent, kStart));
  }
}

// Guards against hedges beyond a limit, and against attempts that count
// although they were given up while they waited for a connection.
TEST(RequestMachineTest, HedgesKeepToLimitsAndUnsentAttemptsDoNotCount) {
  RelayFixture it(1, 2);
  RecordLimit(it.pools[0].servers[1].request_limit, 1, kStart, kStart);
  RequestEffects effects = it.Start(SingleRoute(true));
  it.Send(effects);
  effects = OnRequestTimer(it.state, it.Context(), kStart + Ms(900));
  EXPECT_TRUE(effects.send.empty());

  RelayFixture other(1, 1);
  RequestLimit& limit = other.pools[0].servers[0].request_limit;
  RecordLimit(limit, 1, kStart - Ms(1000), kStart - Ms(1000));
  effects = other.Start(SingleRoute(true));
  ASSERT_EQ(effects.send.size(), 1U);
  EXPECT_FALSE(MaySend(limit, Rank::kUrgent, kStart));
  OnAttemptFailed(other.state, effects.send[0].number, other.Context(), kStart);
  EXPECT_TRUE(MaySend(limit, Rank::kUrgent, kStart));
}

}  // namespace
}  // namespace gooseberryrock::relay
