// Replicated state machine of claims.

#include "gooseberryrock/claims/claims.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/claims/request_id_time.h"

namespace gooseberryrock::claims {

namespace {

bool IsExpired(const ClaimsState& state, WallTime id_time) {
  return state.log_time - id_time > kRequestIdLifetime;
}

void Erase(ClaimsState& state, const RequestId& request, WallTime id_time) {
  auto it = state.claims.find(request);
  if (it->second.outcome) {
    state.outcome_bytes -= it->second.outcome->size();
  }
  state.claims.erase(it);
  state.by_time.erase({id_time, request});
}

// Advances the log time and removes the claims that have expired.
void AdvanceTime(ClaimsState& state, WallTime leader_time) {
  state.log_time = std::max(state.log_time, leader_time);
  while (!state.by_time.empty() &&
         IsExpired(state, state.by_time.begin()->first)) {
    const auto [id_time, request] = *state.by_time.begin();
    Erase(state, request, id_time);
  }
}

// Returns the claim on `request` if `holder` may change it, or else the reason
// why not.
std::pair<Claim*, RecordStatus> FindClaimForUpdate(ClaimsState& state,
                                                   const RequestId& request,
                                                   const ClaimHolder& holder) {
  auto it = state.claims.find(request);
  if (it == state.claims.end()) {
    return {nullptr, RecordStatus::kNoClaim};
  }
  if (it->second.holder != holder) {
    return {nullptr, RecordStatus::kNotHolder};
  }
  if (it->second.outcome) {
    return {nullptr, RecordStatus::kHasOutcome};
  }
  return {&it->second, RecordStatus::kDone};
}

}  // namespace

ClaimResult ApplyClaim(ClaimsState& state, const ClaimEntry& entry) {
  AdvanceTime(state, entry.leader_time);
  const auto id_time = RequestIdTime(entry.request);
  if (!id_time) {
    return {ClaimStatus::kIdMalformed, {}, {}};
  }
  if (IsExpired(state, *id_time) || *id_time - state.log_time > kMaxClockSkew) {
    return {ClaimStatus::kIdExpired, {}, {}};
  }
  auto it = state.claims.find(entry.request);
  if (it != state.claims.end()) {
    const Claim& claim = it->second;
    if (claim.content_hash != entry.content_hash) {
      return {ClaimStatus::kIdReused, {}, {}};
    }
    if (claim.holder == entry.holder && !claim.outcome) {
      return {ClaimStatus::kGranted, {}, {}};
    }
    return {ClaimStatus::kAlreadyClaimed, claim.holder, claim.outcome};
  }
  if (state.claims.size() >= kMaxClaims) {
    return {ClaimStatus::kTooManyClaims, {}, {}};
  }
  state.claims[entry.request] = {entry.content_hash, entry.holder, {}};
  state.by_time.emplace(*id_time, entry.request);
  return {ClaimStatus::kGranted, {}, {}};
}

RecordStatus ApplyOutcome(ClaimsState& state, const OutcomeEntry& entry) {
  AdvanceTime(state, entry.leader_time);
  const auto [claim, status] =
      FindClaimForUpdate(state, entry.request, entry.holder);
  if (claim == nullptr) {
    return status;
  }
  if (entry.outcome.size() > kMaxOutcomeSize ||
      state.outcome_bytes + entry.outcome.size() > kMaxOutcomeBytes) {
    return RecordStatus::kTooLarge;
  }
  claim->outcome = entry.outcome;
  state.outcome_bytes += entry.outcome.size();
  return RecordStatus::kDone;
}

RecordStatus ApplyRelease(ClaimsState& state, const ReleaseEntry& entry) {
  AdvanceTime(state, entry.leader_time);
  const auto [claim, status] =
      FindClaimForUpdate(state, entry.request, entry.holder);
  if (claim != nullptr) {
    Erase(state, entry.request, *RequestIdTime(entry.request));
  }
  return status;
}

void RestoreClaim(ClaimsState& state, const RequestId& request, Claim claim) {
  const auto id_time = RequestIdTime(request);
  if (!id_time || state.claims.contains(request)) {
    return;
  }
  state.outcome_bytes += claim.outcome ? claim.outcome->size() : 0;
  state.claims[request] = std::move(claim);
  state.by_time.emplace(*id_time, request);
}

}  // namespace gooseberryrock::claims
