// Tests of tracking queries suspected of crashing backend servers.

#include "gooseberryrock/claims/crash_suspects.h"

#include <gtest/gtest.h>

#include <string>

namespace gooseberryrock::claims {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const SteadyTime kNow{std::chrono::hours(1)};
const NodeId kA{"a"};
const NodeId kB{"b"};
constexpr Fingerprint kQuery = 7;

CrashedServer Server(int n) {
  return {{"server-" + std::to_string(n)}, 1};
}

FingerprintDecision Check(const CrashSuspects& state, SteadyTime now = kNow) {
  return CheckFingerprint(state, kQuery, now);
}

TEST(CrashSuspectsTest, SecondCrashAloneIsRefusedForTenMinutes) {
  CrashSuspects state;
  EXPECT_EQ(Check(state), FingerprintDecision::kRun);
  RecordCrash(state, kQuery, Server(1), {}, kNow);
  EXPECT_EQ(Check(state), FingerprintDecision::kRunExclusive);
  StartExclusiveRun(state, kQuery, kA, kNow);
  EXPECT_EQ(Check(state), FingerprintDecision::kBusy);
  EXPECT_EQ(Check(state, kNow + kExclusiveRunTimeout),
            FingerprintDecision::kRunExclusive);
  RecordCrash(state, kQuery, Server(2), {}, kNow);
  EXPECT_EQ(Check(state, kNow + minutes(10)), FingerprintDecision::kRefuse);
  EXPECT_TRUE(RecordSuccess(state, kQuery).empty());
  EXPECT_EQ(Check(state, kNow + minutes(10) + seconds(1)),
            FingerprintDecision::kRun);
}

// Guards against refusing a query because another query, possibly from another
// node, crashed the servers that it was running on.
TEST(CrashSuspectsTest, SharedCrashesAreLessSuspect) {
  CrashSuspects state;
  RecordCrash(state, kQuery, Server(1), {}, kNow);
  RecordCrash(state, kQuery, Server(2), {}, kNow);
  EXPECT_EQ(Check(state), FingerprintDecision::kRefuse);
  for (int n : {1, 2}) {
    CrashSuspects other;
    RecordCrash(other, kQuery + n, Server(n), {}, kNow);
    MergeCrashSuspicion(state, MakeCrashSuspicion(other, kQuery + n, kNow), kB,
                        kNow);
  }
  EXPECT_EQ(Check(state), FingerprintDecision::kRunExclusive);
  EXPECT_EQ(RecordSuccess(state, kQuery).size(), 2U);
  EXPECT_EQ(Check(state), FingerprintDecision::kRun);
}

// Guards against refusing all queries in flight after the loss of a failure
// domain.
TEST(CrashSuspectsTest, FirstRunOfFanOutCountsOnce) {
  CrashSuspects state;
  for (int n = 0; n < 100; ++n) {
    RecordCrash(state, kQuery, Server(n), {false, true}, kNow);
  }
  EXPECT_EQ(Check(state), FingerprintDecision::kRunExclusive);
  EXPECT_EQ(state.suspects.at(kQuery).crashes.size(), kMaxCrashes);
  RecordCrash(state, kQuery, Server(200), {}, kNow);
  EXPECT_EQ(Check(state), FingerprintDecision::kRefuse);
}

// Guards against several nodes running a suspect query at the same time, and
// against a success that clears a later crash.
TEST(CrashSuspectsTest, NodesShareRunsAndCrashes) {
  CrashSuspects a;
  CrashSuspects b;
  RecordCrash(a, kQuery, Server(1), {true, false}, kNow);
  StartExclusiveRun(a, kQuery, kA, kNow);
  MergeCrashSuspicion(b, MakeCrashSuspicion(a, kQuery, kNow), kA, kNow);
  EXPECT_EQ(Check(b), FingerprintDecision::kBusy);
  RecordCrash(b, kQuery, Server(2), {true, false}, kNow);
  CrashSuspicion cleared{kQuery, RecordSuccess(a, kQuery), true, {}, {}};
  MergeCrashSuspicion(b, cleared, kA, kNow);
  EXPECT_EQ(Check(b), FingerprintDecision::kRunExclusive);
  EXPECT_TRUE(b.suspects.at(kQuery).crashes.contains(Server(2)));
}

// Guards against a query that stays suspect after a lost connection although
// the server is alive.
TEST(CrashSuspectsTest, LostConnectionWithoutCrashIsForgotten) {
  CrashSuspects a;
  CrashSuspects b;
  StartExclusiveRun(a, kQuery, kA, kNow);
  MergeCrashSuspicion(b, MakeCrashSuspicion(a, kQuery, kNow), kA, kNow);
  EXPECT_EQ(Check(b), FingerprintDecision::kBusy);
  EndExclusiveRun(a, kQuery, kA);
  MergeCrashSuspicion(b, MakeCrashSuspicion(a, kQuery, kNow), kA, kNow);
  EXPECT_EQ(Check(a), FingerprintDecision::kRun);
  EXPECT_TRUE(b.suspects.empty());
}

// Guards against unbounded memory use, and against many suspects that evict a
// refused query.
TEST(CrashSuspectsTest, NumberOfSuspectsIsBounded) {
  CrashSuspects state;
  RecordCrash(state, kQuery, Server(1), {}, kNow);
  RecordCrash(state, kQuery, Server(2), {}, kNow);
  for (Fingerprint n = 100; n < 100 + 2 * kMaxSuspects; ++n) {
    StartExclusiveRun(state, n, kA, kNow + seconds(1));
  }
  EXPECT_EQ(state.suspects.size(), kMaxSuspects);
  EXPECT_EQ(Check(state), FingerprintDecision::kRefuse);
  RemoveExpired(state, kNow + minutes(11));
  EXPECT_TRUE(state.suspects.empty());
}

}  // namespace
}  // namespace gooseberryrock::claims
