// Replicated state machine for at-most-once execution of non-idempotent
// requests. Deterministic: the same entries in the same order lead to the same
// state and the same results on each control VM.
//
// A claim is removed only when its id has expired by the log time, which never
// decreases. A removed id is therefore refused as expired and never granted
// again. When the claim table is full, new claims are refused rather than
// removing one early.

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
// Maximum by which the time in an id may be ahead of the log time.
inline constexpr Duration kMaxClockSkew = std::chrono::minutes(1);
// Three times the claims of 11 minutes at 200 requests/s. At about 200 bytes
// each, they take 80 MB of the 256 MB of a node.
inline constexpr size_t kMaxClaims = 400000;
// Answers to non-idempotent requests come from one shard and are short. Larger
// ones are not recorded, and a resend gets "outcome unknown".
inline constexpr size_t kMaxOutcomeSize = size_t{16} << 10;
// Total size of all recorded outcomes.
inline constexpr size_t kMaxOutcomeBytes = size_t{64} << 20;

struct ClaimsState {
  // Highest leader time seen.
  WallTime log_time;
  std::unordered_map<RequestId, Claim> claims;
  // The ids of `claims`, ordered by the time in the id.
  std::set<std::pair<WallTime, RequestId>> by_time;
  size_t outcome_bytes = 0;

  bool operator==(const ClaimsState&) const = default;
};

enum class ClaimStatus {
  kGranted,
  // Another holder has claimed the id. The result includes the outcome if it is
  // recorded.
  kAlreadyClaimed,
  // The id was claimed for a request with different content.
  kIdReused,
  // The id is older than its lifetime or too far in the future.
  kIdExpired,
  kIdMalformed,
  // There are kMaxClaims claims already; the request was not run.
  kTooManyClaims,
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kIdMalformed;
  // Set for kAlreadyClaimed.
  ClaimHolder holder;
  // Set for kAlreadyClaimed if the outcome is recorded.
  std::optional<std::string> outcome;

  auto operator<=>(const ClaimResult&) const = default;
};

enum class RecordStatus {
  kDone,
  // The claim does not exist, for example because its id has expired.
  kNoClaim,
  // Another holder has the claim.
  kNotHolder,
  // An outcome is already recorded and is kept. Also returned for a release
  // after an outcome.
  kHasOutcome,
  // The outcome exceeds kMaxOutcomeSize, or the total would exceed
  // kMaxOutcomeBytes.
  kTooLarge,
};

// Grants the claim to at most one holder. An entry of the same holder that is
// repeated after a lost reply is granted again until the outcome is recorded.
ClaimResult ApplyClaim(ClaimsState& state, const ClaimEntry& entry);

RecordStatus ApplyOutcome(ClaimsState& state, const OutcomeEntry& entry);

// Removes the claim, so that a resend can run.
RecordStatus ApplyRelease(ClaimsState& state, const ReleaseEntry& entry);

// Inserts a claim from a snapshot.
void RestoreClaim(ClaimsState& state, const RequestId& request, Claim claim);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CLAIMS_H_
