// A crash history that several threads use.

#ifndef GOOSEBERRYROCK_CLAIMS_SHARED_CRASH_HISTORY_H_
#define GOOSEBERRYROCK_CLAIMS_SHARED_CRASH_HISTORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/claims/crash_history.h"

namespace gooseberryrock::claims {

class SharedCrashHistory {
 public:
  // Whether any request is recorded. While there is none, requests need not be
  // checked.
  bool IsActive() const { return active_; }

  // Returns how the request may run until `deadline`. If it may run as a trial,
  // the trial starts.
  CrashDecision BeginRun(Fingerprint fingerprint,
                         RequestKind kind,
                         SteadyTime deadline,
                         SteadyTime now);

  // As the functions of crash_history.h.
  size_t RecordCrash(Fingerprint fingerprint, CrashId crash, SteadyTime now);
  bool RecordAnswer(Fingerprint fingerprint, SteadyTime now);
  CrashNotices NoticesSince(uint64_t since, size_t max, SteadyTime now);
  std::vector<CrashNotice> RecentNotices(SteadyTime since,
                                         size_t max,
                                         SteadyTime now) const;
  // Returns whether any of them changed the history.
  bool MergeNotices(const std::vector<CrashNotice>& notices, SteadyTime now);
  size_t CountRequests() const;

 private:
  // Requires `mutex_`.
  void UpdateActive() { active_ = !history_.requests.empty(); }

  std::atomic<bool> active_ = false;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  CrashHistory history_;
};

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_SHARED_CRASH_HISTORY_H_
