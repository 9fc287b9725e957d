// Stops queries that crash backend servers from being sent to more of them.

#include "gooseberryrock/node/crash_guard.h"

#include <utility>

namespace gooseberryrock::node {

CrashGuard::CrashGuard(NodeId self, CrashSuspicionSender send)
    : self_(std::move(self)), send_(std::move(send)) {}

claims::FingerprintDecision CrashGuard::BeginRun(
    claims::Fingerprint fingerprint,
    SteadyTime now) {
  if (!active_) {
    return claims::FingerprintDecision::kRun;
  }
  std::optional<claims::CrashSuspicion> update;
  claims::FingerprintDecision decision;
  {
    std::lock_guard lock(mutex_);
    claims::RemoveExpired(suspects_, now);
    active_ = !suspects_.suspects.empty() || !crashes_.empty();
    decision = claims::CheckFingerprint(suspects_, fingerprint, now);
    if (decision == claims::FingerprintDecision::kRunExclusive) {
      claims::StartExclusiveRun(suspects_, fingerprint, self_, now);
      update = claims::MakeCrashSuspicion(suspects_, fingerprint, now);
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
  std::optional<claims::CrashSuspicion> update;
  {
    std::lock_guard lock(mutex_);
    update = FinishRun(fingerprint, answered, now);
  }
  if (update) {
    send_(*update);
  }
}

std::optional<claims::CrashSuspicion> CrashGuard::FinishRun(
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
    return claims::MakeCrashSuspicion(suspects_, fingerprint, now);
  }
  auto suspect = suspects_.suspects.find(fingerprint);
  if (suspect == suspects_.suspects.end() || suspect->second.runner != self_) {
    return std::nullopt;
  }
  if (!answered) {
    claims::EndExclusiveRun(suspects_, fingerprint, self_);
    return claims::MakeCrashSuspicion(suspects_, fingerprint, now);
  }
  claims::CrashSuspicion cleared;
  cleared.fingerprint = fingerprint;
  cleared.crashes = claims::RecordSuccess(suspects_, fingerprint);
  cleared.cleared = true;
  return cleared;
}

void CrashGuard::OnCrashSuspicion(const NodeId& from,
                                  const claims::CrashSuspicion& suspicion,
                                  SteadyTime now) {
  active_ = true;
  std::lock_guard lock(mutex_);
  claims::MergeCrashSuspicion(suspects_, suspicion, from, now);
}

}  // namespace gooseberryrock::node
