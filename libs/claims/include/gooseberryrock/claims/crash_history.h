// Requests that crash the backend servers that run them, as entry nodes know
// them.
//
// CrashSuspects lets a suspect query run on one node at a time. Entry nodes do
// not agree on that: they hear of each other through the control VMs, which
// takes longer than most callers wait. Rules:
//
// - A request is identified by its fingerprint. A crash is recorded for every
//   request that was running on the server, under an id of the crash that is
//   the same on all nodes.
// - A server that answers the request clears it of all crashes: a request that
//   only runs beside crashing ones is answered in between.
// - A crash is attributed to the request with the most crashes among those that
//   it is recorded for, so that it no longer counts for the others.
// - From the second crash on, a request is sent to one server per run. From the
//   third on, each run is a trial: there is one at a time, the first at once,
//   the second after kTrialDelay. Then the request is refused.
// - The crashes of one run of a gathered request have the same id. It has no
//   trial, which would cost a server of each shard: if it were harmless, one of
//   the shards would have answered.
//
// A request that crashes each server thus reaches at most two servers after
// those that were sent before its third crash was known, for each group of
// nodes that reach each other.

#ifndef GOOSEBERRYROCK_CLAIMS_CRASH_HISTORY_H_
#define GOOSEBERRYROCK_CLAIMS_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/claims/crash_suspects.h"

namespace gooseberryrock::claims {

// Identifies the end of a server's process or, for a gathered request, the run
// in which servers ended.
using CrashId = uint64_t;

inline constexpr size_t kMaxRecordedRequests = 512;
// Maximum number of crash ids of each kind stored per request.
inline constexpr size_t kMaxCrashIds = 16;
// A request is forgotten this long after its last change.
inline constexpr Duration kRecordLifetime = std::chrono::minutes(10);
inline constexpr Duration kTrialDelay = std::chrono::seconds(5);
// A trial whose end is not reported within this time no longer prevents
// another.
inline constexpr Duration kMaxTrialTime = std::chrono::seconds(5);

struct RequestCrashes {
  // Oldest first, without duplicates. No id is in both lists.
  std::vector<CrashId> crashes;
  std::vector<CrashId> cleared;
  SteadyTime last_crash;
  // End of the trial in progress.
  SteadyTime trial_until;
  SteadyTime changed_at;
  // Value of `changes` at the last change of this record.
  uint64_t change = 0;
};

struct CrashHistory {
  std::map<Fingerprint, RequestCrashes> requests;
  // Number of changes since the start.
  uint64_t changes = 0;
};

enum class CrashAction {
  kRun,
  // Send to one server only, without retries and hedges.
  kRunOnce,
  // The same, after StartTrial().
  kTrial,
  kRefuse,
};

struct CrashDecision {
  CrashAction action = CrashAction::kRun;
  // Crashes attributed to the request.
  size_t crashes = 0;
  // For kRefuse: when the request may run again.
  Duration retry_after = Duration::zero();
};

// The record of one request, for other nodes.
struct CrashNotice {
  Fingerprint fingerprint = 0;
  std::vector<CrashId> crashes;
  std::vector<CrashId> cleared;
  // Time since the last crash.
  Duration age = Duration::zero();
  // Time left of the trial in progress.
  Duration trial = Duration::zero();

  bool operator==(const CrashNotice&) const = default;
};

struct CrashNotices {
  std::vector<CrashNotice> notices;
  // Number of the last change that they include.
  uint64_t changes = 0;
};

enum class RequestKind { kRelayed, kGathered };

CrashDecision CheckRequest(const CrashHistory& history,
                           Fingerprint fingerprint,
                           RequestKind kind,
                           SteadyTime now);

// Starts a trial that ends at `until`, or after kMaxTrialTime.
void StartTrial(CrashHistory& history,
                Fingerprint fingerprint,
                SteadyTime until,
                SteadyTime now);

// Records that a server crashed while it ran the request. Returns the number of
// crashes recorded for the request.
size_t RecordCrash(CrashHistory& history,
                   Fingerprint fingerprint,
                   CrashId crash,
                   SteadyTime now);

// Records that a server answered the request. Returns whether that cleared it
// of a crash.
bool RecordAnswer(CrashHistory& history,
                  Fingerprint fingerprint,
                  SteadyTime now);

// Returns the records that changed after change number `since`, the earliest
// changes first, at most `max` of them.
CrashNotices NoticesSince(const CrashHistory& history,
                          uint64_t since,
                          size_t max,
                          SteadyTime now);

// Returns the records that changed at `since` or later, at most `max` of them.
std::vector<CrashNotice> RecentNotices(const CrashHistory& history,
                                       SteadyTime since,
                                       size_t max,
                                       SteadyTime now);

// Merges a notice of another node; the order of notices does not matter.
// Returns whether it changed the history.
bool MergeNotice(CrashHistory& history,
                 const CrashNotice& notice,
                 SteadyTime now);

void RemoveExpired(CrashHistory& history, SteadyTime now);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CRASH_HISTORY_H_
