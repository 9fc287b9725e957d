// A crash history that several threads use.

#include "gooseberryrock/claims/shared_crash_history.h"

namespace gooseberryrock::claims {

CrashDecision SharedCrashHistory::BeginRun(Fingerprint fingerprint,
                                           RequestKind kind,
                                           SteadyTime deadline,
                                           SteadyTime now) {
  if (!active_) {
    return {};
  }
  std::lock_guard lock(mutex_);
  const CrashDecision decision = CheckRequest(history_, fingerprint, kind, now);
  if (decision.action == CrashAction::kTrial) {
    StartTrial(history_, fingerprint, deadline, now);
  }
  return decision;
}

size_t SharedCrashHistory::RecordCrash(Fingerprint fingerprint,
                                       CrashId crash,
                                       SteadyTime now) {
  std::lock_guard lock(mutex_);
  const size_t n = claims::RecordCrash(history_, fingerprint, crash, now);
  UpdateActive();
  return n;
}

bool SharedCrashHistory::RecordAnswer(Fingerprint fingerprint, SteadyTime now) {
  if (!active_) {
    return false;
  }
  std::lock_guard lock(mutex_);
  return claims::RecordAnswer(history_, fingerprint, now);
}

CrashNotices SharedCrashHistory::NoticesSince(uint64_t since,
                                              size_t max,
                                              SteadyTime now) {
  std::lock_guard lock(mutex_);
  RemoveExpired(history_, now);
  UpdateActive();
  return claims::NoticesSince(history_, since, max, now);
}

std::vector<CrashNotice> SharedCrashHistory::RecentNotices(
    SteadyTime since,
    size_t max,
    SteadyTime now) const {
  std::lock_guard lock(mutex_);
  return claims::RecentNotices(history_, since, max, now);
}

bool SharedCrashHistory::MergeNotices(const std::vector<CrashNotice>& notices,
                                      SteadyTime now) {
  bool changed = false;
  std::lock_guard lock(mutex_);
  for (const CrashNotice& it : notices) {
    changed = MergeNotice(history_, it, now) || changed;
  }
  UpdateActive();
  return changed;
}

size_t SharedCrashHistory::CountRequests() const {
  std::lock_guard lock(mutex_);
  return history_.requests.size();
}

}  // namespace gooseberryrock::claims
