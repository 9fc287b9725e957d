// Tests of claims on request ids.

#include "gooseberryrock/claims/claims.h"

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/claims/request_id_time.h"

namespace gooseberryrock::claims {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const WallTime kNow{std::chrono::hours(400000)};
const ClaimHolder kA{{"a"}, 1, 1};
const ClaimHolder kB{{"b"}, 1, 1};

RequestId Id(const std::string& random, Duration offset = {}) {
  const auto ms = std::chrono::duration_cast<milliseconds>(
      (kNow + offset).time_since_epoch());
  return {std::to_string(ms.count()) + "-" + random};
}

ClaimStatus Claimed(ClaimsState& state,
                    const RequestId& id,
                    const ClaimHolder& holder,
                    uint64_t content = 1,
                    WallTime now = kNow) {
  return ApplyClaim(state, {id, content, holder, now}).status;
}

// Guards against two nodes running the same request after a resend.
TEST(ClaimsTest, OneHolderWins) {
  ClaimsState state;
  EXPECT_EQ(Claimed(state, Id("x"), kA), ClaimStatus::kGranted);
  const ClaimResult unknown = ApplyClaim(state, {Id("x"), 1, kB, kNow});
  EXPECT_EQ(unknown.status, ClaimStatus::kAlreadyClaimed);
  EXPECT_EQ(unknown.holder, kA);
  EXPECT_EQ(unknown.outcome, std::nullopt);
  EXPECT_EQ(Claimed(state, Id("x"), kA), ClaimStatus::kGranted);
  EXPECT_EQ(Claimed(state, Id("x"), {{"a"}, 1, 2}),
            ClaimStatus::kAlreadyClaimed);
  EXPECT_EQ(ApplyOutcome(state, {Id("x"), kA, "booked", kNow}),
            RecordStatus::kDone);
  EXPECT_EQ(ApplyClaim(state, {Id("x"), 1, kB, kNow}).outcome, "booked");
  // A holder whose outcome is recorded must not run the request again.
  EXPECT_EQ(Claimed(state, Id("x"), kA), ClaimStatus::kAlreadyClaimed);
}

TEST(ClaimsTest, ReusedIdWithOtherContentIsAnError) {
  ClaimsState state;
  Claimed(state, Id("x"), kA, 1);
  EXPECT_EQ(Claimed(state, Id("x"), kA, 2), ClaimStatus::kIdReused);
}

// Guards against a release or an outcome from a process that does not hold the
// claim, such as another incarnation or a concurrent resend on the same node.
TEST(ClaimsTest, OnlyTheHolderRecordsAndReleases) {
  ClaimsState state;
  Claimed(state, Id("x"), kA);
  for (const ClaimHolder& other :
       {kB, ClaimHolder{{"a"}, 2, 1}, ClaimHolder{{"a"}, 1, 2}}) {
    EXPECT_EQ(ApplyOutcome(state, {Id("x"), other, "o", kNow}),
              RecordStatus::kNotHolder);
    EXPECT_EQ(ApplyRelease(state, {Id("x"), other, kNow}),
              RecordStatus::kNotHolder);
  }
  EXPECT_EQ(ApplyRelease(state, {Id("x"), kA, kNow}), RecordStatus::kDone);
  EXPECT_EQ(ApplyRelease(state, {Id("x"), kA, kNow}), RecordStatus::kNoClaim);
  EXPECT_EQ(Claimed(state, Id("x"), kB), ClaimStatus::kGranted);
}

TEST(ClaimsTest, FirstOutcomeStays) {
  ClaimsState state;
  Claimed(state, Id("x"), kA);
  EXPECT_EQ(ApplyOutcome(state, {Id("x"), kA,
                                 std::string(kMaxOutcomeSize + 1, 'x'), kNow}),
            RecordStatus::kTooLarge);
  ApplyOutcome(state, {Id("x"), kA, "first", kNow});
  EXPECT_EQ(ApplyOutcome(state, {Id("x"), kA, "second", kNow}),
            RecordStatus::kHasOutcome);
  EXPECT_EQ(ApplyRelease(state, {Id("x"), kA, kNow}),
            RecordStatus::kHasOutcome);
  EXPECT_EQ(ApplyClaim(state, {Id("x"), 1, kB, kNow}).outcome, "first");
}

// Guards against granting an id again after its claim was removed, including
// under a later leader whose clock is behind.
TEST(ClaimsTest, ExpiredIdIsRefusedForEver) {
  ClaimsState state;
  const WallTime expired = kNow + minutes(10) + milliseconds(1);
  Claimed(state, Id("x"), kA);
  Claimed(state, Id("y", minutes(10)), kA, 1, kNow + minutes(10));
  EXPECT_EQ(state.claims.size(), 2U);
  Claimed(state, Id("z", minutes(10)), kA, 1, expired);
  EXPECT_FALSE(state.claims.contains(Id("x")));
  EXPECT_EQ(Claimed(state, Id("x"), kB, 1, kNow), ClaimStatus::kIdExpired);
  EXPECT_EQ(state.log_time, expired);
  EXPECT_EQ(Claimed(state, Id("f", minutes(11) + milliseconds(2)), kA, 1, kNow),
            ClaimStatus::kIdExpired);
  EXPECT_EQ(Claimed(state, Id("f", minutes(11)), kA, 1, kNow),
            ClaimStatus::kGranted);
}

TEST(ClaimsTest, MalformedIdsAreRefused) {
  ClaimsState state;
  for (const char* id :
       {"", "-", "1", "1-", "-1-x", "+1-x", "01-x", "1 -x", "1-x y", "1-\xff",
        "99999999999999-x", "18446744073709551616-x", "x-1"}) {
    EXPECT_EQ(Claimed(state, {id}, kA), ClaimStatus::kIdMalformed) << id;
  }
  EXPECT_EQ(Claimed(state, Id(std::string(kMaxRandomPart + 1, 'x')), kA),
            ClaimStatus::kIdMalformed);
}

// Guards against unbounded memory use, and against evicting a claim whose
// request can still be resent.
TEST(ClaimsTest, FullStateRefusesNewClaims) {
  ClaimsState state;
  for (size_t n = 0; n < kMaxClaims; ++n) {
    Claimed(state, Id(std::to_string(n)), kA);
  }
  EXPECT_EQ(Claimed(state, Id("more"), kA), ClaimStatus::kTooManyClaims);
  EXPECT_EQ(Claimed(state, Id("0"), kB), ClaimStatus::kAlreadyClaimed);
  EXPECT_EQ(Claimed(state, Id("later", minutes(11)), kA, 1, kNow + minutes(11)),
            ClaimStatus::kGranted);
  EXPECT_EQ(state.claims.size(), 1U);
}

}  // namespace
}  // namespace gooseberryrock::claims
