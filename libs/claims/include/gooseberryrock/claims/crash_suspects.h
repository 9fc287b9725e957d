// Tracks queries suspected of crashing the backend servers that run them.
//
// A query is identified by its fingerprint, a hash of service and text. Rules:
//
// - A query becomes suspect when a server crashes while running it. A suspect
//   query runs exclusively: as one attempt at a time over all nodes. The node
//   that runs it notifies the others, which wait.
// - A successful run clears the query on all nodes.
// - The query is refused for 10 minutes after it was running on three crashed
//   servers, or on two if it was the only query on one of them. A query that
//   only happened to run next to a crashing one is thus refused only after
//   three crashes without a success in between.
// - The loss of a failure domain stops many servers of a multi-shard query at
//   once. The crashes of its first run therefore count as one.
//
// A single-shard query that crashes every server reaches at most three servers:
// the first attempt, a second one (hedge or retry) before the first crash is
// known, and one exclusive run. This requires that other nodes learn of a crash
// before the caller's next resend; in a partition the bound holds for each
// group of connected nodes. A multi-shard query can crash one server per
// attempt of its first run, and then at most two in exclusive runs.

#ifndef GOOSEBERRYROCK_CLAIMS_CRASH_SUSPECTS_H_
#define GOOSEBERRYROCK_CLAIMS_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::claims {

using Fingerprint = uint64_t;

inline constexpr size_t kMaxSuspects = 4096;
inline constexpr Duration kSuspectLifetime = std::chrono::minutes(10);
// An exclusive run whose end is not reported within this time ends; its node is
// presumed lost.
inline constexpr Duration kExclusiveRunTimeout = std::chrono::seconds(5);
// Maximum number of crashes stored per query; three are enough to refuse it.
inline constexpr size_t kMaxCrashes = 8;

// A server process that crashed.
struct CrashedServer {
  BackendServerId server;
  uint64_t incarnation = 0;

  auto operator<=>(const CrashedServer&) const = default;
};

struct CrashDetails {
  // Whether other queries were running on the server. Also set when any node
  // reports the same crash for another query.
  bool shared = false;
  // Whether the attempt belonged to the first run of a multi-shard query.
  bool fan_out = false;

  auto operator<=>(const CrashDetails&) const = default;
};

using Crashes = std::map<CrashedServer, CrashDetails>;

struct Suspect {
  Crashes crashes;
  SteadyTime last_crash;
  // The node with an exclusive run of the query until `exclusive_until`, or
  // empty.
  NodeId runner;
  SteadyTime exclusive_until;
};

struct CrashSuspects {
  std::map<Fingerprint, Suspect> suspects;
};

enum class FingerprintDecision {
  kRun,
  // Run exclusively: one attempt, no hedge, one shard at a time. Call
  // StartExclusiveRun() first.
  kRunExclusive,
  // An exclusive run is in progress; check again when it has ended.
  kBusy,
  kRefuse,
};

// Status of a suspect query that a node sends to the other nodes.
struct CrashSuspicion {
  Fingerprint fingerprint = 0;
  Crashes crashes;
  // The listed crashes are cleared.
  bool cleared = false;
  // Time since the last crash.
  Duration age{};
  NodeId runner;

  bool operator==(const CrashSuspicion&) const = default;
};

Fingerprint MakeFingerprint(const ServiceName& service, std::string_view text);

FingerprintDecision CheckFingerprint(const CrashSuspects& state,
                                     Fingerprint fingerprint,
                                     SteadyTime now);

// Starts an exclusive run of the query by `runner`. Also called when a
// connection is lost after sending, until it is known whether the server
// crashed. The caller must notify the other nodes.
void StartExclusiveRun(CrashSuspects& state,
                       Fingerprint fingerprint,
                       const NodeId& runner,
                       SteadyTime now);

// Ends the exclusive run of `runner` after neither a crash nor a success, or
// after a lost connection whose server is alive. The caller must notify the
// other nodes.
void EndExclusiveRun(CrashSuspects& state,
                     Fingerprint fingerprint,
                     const NodeId& runner);

// Records that a server crashed while running the query, and ends the exclusive
// run. The other nodes must be notified before the query is answered.
void RecordCrash(CrashSuspects& state,
                 Fingerprint fingerprint,
                 const CrashedServer& server,
                 const CrashDetails& details,
                 SteadyTime now);

// Records a successful exclusive run. Returns the crashes that it clears, to be
// sent to the other nodes; empty if the query is already refused.
Crashes RecordSuccess(CrashSuspects& state, Fingerprint fingerprint);

// Returns the status to send to the other nodes after a change, or to a node
// that has reconnected.
CrashSuspicion MakeCrashSuspicion(const CrashSuspects& state,
                                  Fingerprint fingerprint,
                                  SteadyTime now);

// Merges the status sent by the node `from`. Only exclusive runs by `from`
// itself are accepted.
void MergeCrashSuspicion(CrashSuspects& state,
                         const CrashSuspicion& suspicion,
                         const NodeId& from,
                         SteadyTime now);

// Removes suspects kSuspectLifetime after their last crash.
void RemoveExpired(CrashSuspects& state, SteadyTime now);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CRASH_SUSPECTS_H_
