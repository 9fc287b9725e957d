// Tracks queries suspected of crashing the backend servers that run them.

#include "gooseberryrock/claims/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::claims {

namespace {

constexpr size_t kCrashesToRefuse = 3;
// Applies if the query was the only one on one of the crashed servers.
constexpr size_t kCrashesToRefuseUnshared = 2;

bool IsRefused(const Suspect& suspect) {
  size_t n = 0;
  bool any_unshared = false;
  bool any_fan_out = false;
  for (const auto& [server, details] : suspect.crashes) {
    any_unshared = any_unshared || !details.shared;
    any_fan_out = any_fan_out || details.fan_out;
    n += details.fan_out ? 0 : 1;
  }
  n += any_fan_out ? 1 : 0;
  return n >= (any_unshared ? kCrashesToRefuseUnshared : kCrashesToRefuse);
}

bool IsExpired(const Suspect& suspect, SteadyTime now) {
  return now - suspect.last_crash > kSuspectLifetime;
}

// Removes the oldest suspect that is not refused, or else the oldest one.
void EvictOldest(CrashSuspects& state) {
  auto& suspects = state.suspects;
  const auto oldest = std::min_element(
      suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
        return std::pair(IsRefused(a.second), a.second.last_crash) <
               std::pair(IsRefused(b.second), b.second.last_crash);
      });
  suspects.erase(oldest);
}

Suspect& FindOrAdd(CrashSuspects& state,
                   Fingerprint fingerprint,
                   SteadyTime now) {
  auto it = state.suspects.find(fingerprint);
  if (it != state.suspects.end()) {
    return it->second;
  }
  if (state.suspects.size() >= kMaxSuspects) {
    RemoveExpired(state, now);
    if (state.suspects.size() >= kMaxSuspects) {
      EvictOldest(state);
    }
  }
  Suspect& suspect = state.suspects[fingerprint];
  suspect.last_crash = now;
  return suspect;
}

void AddCrash(Suspect& suspect,
              const CrashedServer& server,
              const CrashDetails& details) {
  if (suspect.crashes.contains(server) ||
      suspect.crashes.size() < kMaxCrashes) {
    CrashDetails& known =
        suspect.crashes.try_emplace(server, details).first->second;
    // A node that reports an unshared crash may not know of queries of other
    // nodes on the server.
    known.shared = known.shared || details.shared;
    known.fan_out = known.fan_out && details.fan_out;
  } else if (!details.fan_out) {
    // A crash that counts individually replaces one of the first run.
    auto it =
        std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                     [](const auto& crash) { return crash.second.fan_out; });
    if (it != suspect.crashes.end()) {
      suspect.crashes.erase(it);
      suspect.crashes.emplace(server, details);
    }
  }
}

// Marks the crash as shared for all queries that were running on the server,
// whichever node they came from.
void MarkShared(CrashSuspects& state,
                Fingerprint fingerprint,
                const CrashedServer& server) {
  Suspect& suspect = state.suspects.at(fingerprint);
  auto own = suspect.crashes.find(server);
  if (own == suspect.crashes.end()) {
    return;
  }
  for (auto& [other, other_suspect] : state.suspects) {
    auto it = other_suspect.crashes.find(server);
    if (other != fingerprint && it != other_suspect.crashes.end()) {
      it->second.shared = true;
      own->second.shared = true;
    }
  }
}

void ClearRunner(Suspect& suspect) {
  suspect.runner = {};
  suspect.exclusive_until = {};
}

// Removes the crashes that another node has cleared.
void RemoveClearedCrashes(CrashSuspects& state,
                          const CrashSuspicion& suspicion) {
  auto it = state.suspects.find(suspicion.fingerprint);
  if (it == state.suspects.end() || IsRefused(it->second)) {
    return;
  }
  for (const auto& [server, details] : suspicion.crashes) {
    it->second.crashes.erase(server);
  }
  if (it->second.crashes.empty() && it->second.runner.empty()) {
    state.suspects.erase(it);
  }
}

}  // namespace

Fingerprint MakeFingerprint(const ServiceName& service, std::string_view text) {
  return Hash64(text, Hash64(service.value));
}

FingerprintDecision CheckFingerprint(const CrashSuspects& state,
                                     Fingerprint fingerprint,
                                     SteadyTime now) {
  auto it = state.suspects.find(fingerprint);
  if (it == state.suspects.end() || IsExpired(it->second, now)) {
    return FingerprintDecision::kRun;
  }
  const Suspect& suspect = it->second;
  if (IsRefused(suspect)) {
    return FingerprintDecision::kRefuse;
  }
  if (!suspect.runner.empty() && now < suspect.exclusive_until) {
    return FingerprintDecision::kBusy;
  }
  return suspect.crashes.empty() ? FingerprintDecision::kRun
                                 : FingerprintDecision::kRunExclusive;
}

void StartExclusiveRun(CrashSuspects& state,
                       Fingerprint fingerprint,
                       const NodeId& runner,
                       SteadyTime now) {
  Suspect& suspect = FindOrAdd(state, fingerprint, now);
  suspect.runner = runner;
  suspect.exclusive_until = now + kExclusiveRunTimeout;
}

void EndExclusiveRun(CrashSuspects& state,
                     Fingerprint fingerprint,
                     const NodeId& runner) {
  auto it = state.suspects.find(fingerprint);
  if (it == state.suspects.end() || it->second.runner != runner) {
    return;
  }
  ClearRunner(it->second);
  if (it->second.crashes.empty()) {
    state.suspects.erase(it);
  }
}

void RecordCrash(CrashSuspects& state,
                 Fingerprint fingerprint,
                 const CrashedServer& server,
                 const CrashDetails& details,
                 SteadyTime now) {
  Suspect& suspect = FindOrAdd(state, fingerprint, now);
  AddCrash(suspect, server, details);
  MarkShared(state, fingerprint, server);
  suspect.last_crash = now;
  ClearRunner(suspect);
}

Crashes RecordSuccess(CrashSuspects& state, Fingerprint fingerprint) {
  auto it = state.suspects.find(fingerprint);
  if (it == state.suspects.end() || IsRefused(it->second)) {
    return {};
  }
  Crashes crashes = std::move(it->second.crashes);
  state.suspects.erase(it);
  return crashes;
}

CrashSuspicion MakeCrashSuspicion(const CrashSuspects& state,
                                  Fingerprint fingerprint,
                                  SteadyTime now) {
  CrashSuspicion suspicion;
  suspicion.fingerprint = fingerprint;
  auto it = state.suspects.find(fingerprint);
  if (it != state.suspects.end()) {
    suspicion.crashes = it->second.crashes;
    suspicion.age = now - it->second.last_crash;
    suspicion.runner = it->second.runner;
  }
  return suspicion;
}

void MergeCrashSuspicion(CrashSuspects& state,
                         const CrashSuspicion& suspicion,
                         const NodeId& from,
                         SteadyTime now) {
  if (suspicion.age > kSuspectLifetime) {
    return;
  }
  const Fingerprint fingerprint = suspicion.fingerprint;
  if (suspicion.runner != from) {
    EndExclusiveRun(state, fingerprint, from);
  }
  if (suspicion.cleared) {
    RemoveClearedCrashes(state, suspicion);
    return;
  }
  if (!suspicion.crashes.empty()) {
    const SteadyTime crashed_at = now - suspicion.age;
    Suspect& suspect = FindOrAdd(state, fingerprint, now);
    suspect.last_crash = suspect.crashes.empty()
                             ? crashed_at
                             : std::max(suspect.last_crash, crashed_at);
    for (const auto& [server, details] : suspicion.crashes) {
      AddCrash(suspect, server, details);
      MarkShared(state, fingerprint, server);
    }
  }
  if (suspicion.runner == from) {
    StartExclusiveRun(state, fingerprint, from, now);
  }
}

void RemoveExpired(CrashSuspects& state, SteadyTime now) {
  std::erase_if(state.suspects, [&](const auto& suspect) {
    return IsExpired(suspect.second, now);
  });
}

}  // namespace gooseberryrock::claims
