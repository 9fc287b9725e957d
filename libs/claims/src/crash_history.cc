// Requests that crash the backend servers that run them.

#include "gooseberryrock/claims/crash_history.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gooseberryrock::claims {

namespace {

constexpr size_t kCrashesToRunOnce = 2;
constexpr size_t kCrashesToTry = 3;
// A trial usually ends within this time: a server answers or crashes.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(500);
// Differences between the clocks' readings of the same trial are no change.
constexpr Duration kTrialTolerance = std::chrono::milliseconds(200);

bool Contains(const std::vector<CrashId>& ids, CrashId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Returns whether the id is new. The oldest ids are dropped at the limit.
bool Add(std::vector<CrashId>& ids, CrashId id) {
  if (Contains(ids, id)) {
    return false;
  }
  if (ids.size() >= kMaxCrashIds) {
    ids.erase(ids.begin());
  }
  ids.push_back(id);
  return true;
}

void MarkChanged(CrashHistory& history,
                 RequestCrashes& record,
                 SteadyTime now) {
  record.change = ++history.changes;
  record.changed_at = now;
}

bool IsExpired(const RequestCrashes& record, SteadyTime now) {
  return now - record.changed_at > kRecordLifetime;
}

// Removes the record with the fewest crashes, and the oldest one among these.
void EvictOne(CrashHistory& history) {
  const auto weight = [](const RequestCrashes& it) {
    return std::tuple(it.crashes.size(), it.changed_at);
  };
  history.requests.erase(
      std::min_element(history.requests.begin(), history.requests.end(),
                       [&](const auto& a, const auto& b) {
                         return weight(a.second) < weight(b.second);
                       }));
}

RequestCrashes& FindOrAdd(CrashHistory& history,
                          Fingerprint fingerprint,
                          SteadyTime now) {
  auto it = history.requests.find(fingerprint);
  if (it != history.requests.end()) {
    return it->second;
  }
  if (history.requests.size() >= kMaxRecordedRequests) {
    RemoveExpired(history, now);
  }
  if (history.requests.size() >= kMaxRecordedRequests) {
    EvictOne(history);
  }
  return history.requests[fingerprint];
}

// Whether another request was running on the server and has more crashes.
bool IsAttributedToOther(const CrashHistory& history,
                         const RequestCrashes& record,
                         CrashId crash) {
  return std::any_of(
      history.requests.begin(), history.requests.end(), [&](const auto& it) {
        const auto& other = it.second.crashes;
        return other.size() > record.crashes.size() && Contains(other, crash);
      });
}

size_t CountAttributed(const CrashHistory& history,
                       const RequestCrashes& record) {
  return static_cast<size_t>(std::count_if(
      record.crashes.begin(), record.crashes.end(),
      [&](CrashId it) { return !IsAttributedToOther(history, record, it); }));
}

// Returns whether it cleared a crash.
bool Clear(RequestCrashes& record, CrashId crash) {
  Add(record.cleared, crash);
  return std::erase(record.crashes, crash) > 0;
}

Duration Left(SteadyTime until, SteadyTime now) {
  return std::max(until - now, Duration::zero());
}

CrashNotice MakeNotice(Fingerprint fingerprint,
                       const RequestCrashes& record,
                       SteadyTime now) {
  return {fingerprint, record.crashes, record.cleared,
          record.crashes.empty() ? Duration::zero() : now - record.last_crash,
          Left(record.trial_until, now)};
}

}  // namespace

CrashDecision CheckRequest(const CrashHistory& history,
                           Fingerprint fingerprint,
                           RequestKind kind,
                           SteadyTime now) {
  CrashDecision decision;
  auto it = history.requests.find(fingerprint);
  if (it == history.requests.end() || IsExpired(it->second, now)) {
    return decision;
  }
  const RequestCrashes& record = it->second;
  decision.crashes = CountAttributed(history, record);
  if (decision.crashes < kCrashesToRunOnce) {
    return decision;
  }
  decision.action = CrashAction::kRunOnce;
  if (decision.crashes < kCrashesToTry) {
    return decision;
  }
  if (record.trial_until > now) {
    decision.action = CrashAction::kRefuse;
    decision.retry_after = std::min(record.trial_until - now, kBusyRetryAfter);
    return decision;
  }
  decision.action = CrashAction::kTrial;
  const size_t trials_failed = decision.crashes - kCrashesToTry;
  if (kind == RequestKind::kGathered || trials_failed > 1) {
    decision.action = CrashAction::kRefuse;
    decision.retry_after = Left(record.changed_at + kRecordLifetime, now);
  } else if (trials_failed == 1 && now - record.last_crash < kTrialDelay) {
    decision.action = CrashAction::kRefuse;
    decision.retry_after = Left(record.last_crash + kTrialDelay, now);
  }
  return decision;
}

void StartTrial(CrashHistory& history,
                Fingerprint fingerprint,
                SteadyTime until,
                SteadyTime now) {
  RequestCrashes& record = FindOrAdd(history, fingerprint, now);
  record.trial_until = std::min(until, now + kMaxTrialTime);
  MarkChanged(history, record, now);
}

size_t RecordCrash(CrashHistory& history,
                   Fingerprint fingerprint,
                   CrashId crash,
                   SteadyTime now) {
  RequestCrashes& record = FindOrAdd(history, fingerprint, now);
  if (!Contains(record.cleared, crash) && Add(record.crashes, crash)) {
    record.last_crash = now;
    record.trial_until = {};
    MarkChanged(history, record, now);
  }
  return record.crashes.size();
}

bool RecordAnswer(CrashHistory& history,
                  Fingerprint fingerprint,
                  SteadyTime now) {
  auto it = history.requests.find(fingerprint);
  if (it == history.requests.end() || it->second.crashes.empty()) {
    return false;
  }
  RequestCrashes& record = it->second;
  for (CrashId crash : std::vector<CrashId>(record.crashes)) {
    Clear(record, crash);
  }
  record.trial_until = {};
  MarkChanged(history, record, now);
  return true;
}

CrashNotices NoticesSince(const CrashHistory& history,
                          uint64_t since,
                          size_t max,
                          SteadyTime now) {
  std::vector<std::pair<uint64_t, Fingerprint>> changed;
  for (const auto& [fingerprint, record] : history.requests) {
    if (record.change > since) {
      changed.emplace_back(record.change, fingerprint);
    }
  }
  std::sort(changed.begin(), changed.end());
  CrashNotices result;
  result.changes = history.changes;
  if (changed.size() > max) {
    changed.resize(max);
    result.changes = changed.empty() ? since : changed.back().first;
  }
  for (const auto& [change, fingerprint] : changed) {
    result.notices.push_back(
        MakeNotice(fingerprint, history.requests.at(fingerprint), now));
  }
  return result;
}

std::vector<CrashNotice> RecentNotices(const CrashHistory& history,
                                       SteadyTime since,
                                       size_t max,
                                       SteadyTime now) {
  std::vector<CrashNotice> notices;
  for (const auto& [fingerprint, record] : history.requests) {
    if (record.changed_at >= since && notices.size() < max) {
      notices.push_back(MakeNotice(fingerprint, record, now));
    }
  }
  return notices;
}

bool MergeNotice(CrashHistory& history,
                 const CrashNotice& notice,
                 SteadyTime now) {
  if (notice.age > kRecordLifetime ||
      (notice.crashes.empty() && notice.cleared.empty())) {
    return false;
  }
  RequestCrashes& record = FindOrAdd(history, notice.fingerprint, now);
  bool changed = false;
  for (CrashId it : notice.cleared) {
    const bool is_new = !Contains(record.cleared, it);
    const bool cleared = Clear(record, it);
    changed = changed || is_new || cleared;
  }
  bool has_new_crash = false;
  for (CrashId it : notice.crashes) {
    if (!Contains(record.cleared, it) && Add(record.crashes, it)) {
      has_new_crash = true;
    }
  }
  if (has_new_crash) {
    record.last_crash = std::max(record.last_crash, now - notice.age);
    record.trial_until = {};
  }
  const SteadyTime trial_until = now + std::min(notice.trial, kMaxTrialTime);
  if (notice.trial > Duration::zero() && !record.crashes.empty() &&
      trial_until > record.trial_until + kTrialTolerance) {
    record.trial_until = trial_until;
    changed = true;
  }
  if (changed || has_new_crash) {
    MarkChanged(history, record, now);
  }
  return changed || has_new_crash;
}

void RemoveExpired(CrashHistory& history, SteadyTime now) {
  std::erase_if(history.requests,
                [&](const auto& it) { return IsExpired(it.second, now); });
}

}  // namespace gooseberryrock::claims
