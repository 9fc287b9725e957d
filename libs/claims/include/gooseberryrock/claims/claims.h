// At-most-once execution of non-idempotent requests: the state machine that the
// replicated log drives. Deterministic: the same entries in the same order lead
// to the same state and the same results on each control VM.
//
// A claim is forgotten only when its id has expired by the log's time, which
// never falls, so that a forgotten id is refused and never granted again. When
// there is no room for a claim it is refused instead of forgetting one early.

#ifndef GOOSEBERRYROCK_CLAIMS_CLAIMS_H_
#define GOOSEBERRYROCK_CLAIMS_CLAIMS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/claims/claim.h"

namespace gooseberryrock::claims {

inline constexpr Duration kRequestIdLifetime = std::chrono::minutes(10);
// How far the clock of a caller may be ahead of the log's time.
inline constexpr Duration kMaxClockLead = std::chrono::minutes(1);
// 200 bookings a second for 11 minutes, three times over. At about 200 bytes
// each the claims take 80 MB of the 256 MB of a node.
inline constexpr size_t kMaxClaims = 400000;
// An answer to a non-idempotent request is that of one shard and short. Larger
// ones are not recorded, so that a resend gets "outcome unknown".
inline constexpr size_t kMaxOutcomeSize = size_t{16} << 10;
// Sum over all outcomes.
inline constexpr size_t kMaxOutcomeBytes = size_t{64} << 20;

struct ClaimsState {
  // Highest leader time seen.
  WallTime log_time;
  std::unordered_map<RequestId, Claim> claims;
  // The ids of `claims` by the time in them.
  std::set<std::pair<WallTime, RequestId>> by_time;
  size_t outcome_bytes = 0;

  bool operator==(const ClaimsState&) const = default;
};

enum class ClaimStatus {
  kGranted,
  // Another claim holds the id; its outcome is in the result once recorded.
  kAlreadyClaimed,
  // The id was claimed for a request with other content.
  kIdReused,
  // The id is older than its lifetime or too far in the future.
  kIdExpired,
  kIdMalformed,
  // kMaxClaims are remembered; the request was not run.
  kTooManyClaims,
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kIdMalformed;
  // Of kAlreadyClaimed.
  ClaimHolder holder;
  // Of kAlreadyClaimed; absent while the outcome is unknown.
  std::optional<std::string> outcome;

  auto operator<=>(const ClaimResult&) const = default;
};

enum class RecordStatus {
  kDone,
  // There is no such claim, for example because its id has expired.
  kNoClaim,
  // Another holder has the claim.
  kNotHolder,
  // The first outcome stays. Also the answer to a release after an outcome.
  kHasOutcome,
  // The outcome exceeds kMaxOutcomeSize, or all of them kMaxOutcomeBytes.
  kTooLarge,
};

// Grants the claim to one holder only. The same entry again, after a lost
// reply, is granted again until its outcome is recorded.
ClaimResult ApplyClaim(ClaimsState& state, const ClaimEntry& entry);

RecordStatus ApplyOutcome(ClaimsState& state, const OutcomeEntry& entry);

// Withdraws the claim, so that a resend can be run.
RecordStatus ApplyRelease(ClaimsState& state, const ReleaseEntry& entry);

// Inserts a claim when a snapshot is loaded.
void RestoreClaim(ClaimsState& state, const RequestId& request, Claim claim);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CLAIMS_H_
