// Stops queries that crash backend servers from being sent to more of them.

#include "gooseberryrock/node/crash_guard.h"

#include <utility>

namespace gooseberryrock::node {

CrashGuard::CrashGuard(NodeId self, SuspicionSender send)
    : self_(std::move(self)), send_(std::move(send)) {}

claims::FingerprintDecision CrashGuard::BeginRun(
    claims::Fingerprint fingerprint,
    SteadyTime now) {
  if (!active_) {
    return claims::FingerprintDecision::kRun;
  }
  std::optional<claims::Suspicion> update;
  claims::FingerprintDecision decision;
  {
    std::lock_guard lock(mutex_);
    claims::RemoveExpired(suspects_, now);
    active_ = !suspects_.suspects.empty() || !crashes_.empty();
    decision = claims::CheckFingerprint(suspects_, fingerprint, now);
    if (decision == claims::FingerprintDecision::kRunAlone) {
      claims::StartAlone(suspects_, fingerprint, self_, now);
      update = claims::DescribeSuspicion(suspects_, fingerprint, now);
    }
  }
  if (update) {
    send_(*update);
  }
  return decision;
}

void CrashGuard::OnCrash(claims::Fingerprint fingerprint,
                         const claims::CrashedServer& server,
                         bool shared) {
  active_ = true;
  std::lock_guard lock(mutex_);
  crashes_[fingerprint][server] = shared;
}

void CrashGuard::EndRun(claims::Fingerprint fingerprint,
                        bool answered,
                        SteadyTime now) {
  if (!active_) {
    return;
  }
  std::optional<claims::Suspicion> update;
  {
    std::lock_guard lock(mutex_);
    update = FinishRun(fingerprint, answered, now);
  }
  if (update) {
    send_(*update);
  }
}

std::optional<claims::Suspicion> CrashGuard::FinishRun(
    claims::Fingerprint fingerprint,
    bool answered,
    SteadyTime now) {
  auto it = crashes_.find(fingerprint);
  if (it != crashes_.end() && answered) {
    crashes_.erase(it);
  } else if (it != crashes_.end()) {
    for (const auto& [server, shared] : it->second) {
      claims::RecordCrash(suspects_, fingerprint, server, {shared, false}, now);
    }
    crashes_.erase(it);
    return claims::DescribeSuspicion(suspects_, fingerprint, now);
  }
  auto suspect = suspects_.suspects.find(fingerprint);
  if (suspect == suspects_.suspects.end() || suspect->second.runner != self_) {
    return std::nullopt;
  }
  if (!answered) {
    claims::EndAlone(suspects_, fingerprint, self_);
    return claims::DescribeSuspicion(suspects_, fingerprint, now);
  }
  claims::Suspicion cleared;
  cleared.fingerprint = fingerprint;
  cleared.crashes = claims::RecordSuccess(suspects_, fingerprint);
  cleared.cleared = true;
  return cleared;
}

void CrashGuard::OnSuspicion(const NodeId& from,
                             const claims::Suspicion& suspicion,
                             SteadyTime now) {
  active_ = true;
  std::lock_guard lock(mutex_);
  claims::MergeSuspicion(suspects_, suspicion, from, now);
}

}  // namespace gooseberryrock::node
