// Queries that may crash the backend servers that run them.
//
// A query is known by its fingerprint, a hash of service and text. Rules:
//
// - A crash of a server while it ran the query makes the query suspect. A
//   suspect query runs as one attempt at a time, and the node that runs it
//   tells the others, which wait.
// - A run that succeeds withdraws the suspicion on all nodes.
// - The query is refused for 10 minutes once it has been on three crashed
//   servers, or on two if no other query was on one of them. So a query that
//   was beside another one by chance needs three crashes without a success
//   between.
// - A query to several shards loses many servers at once when a failure domain
//   is lost. The crashes of its first run count as one.
//
// A query to one shard that crashes each server reaches at most three: a second
// attempt (hedge or retry) may run before the first crash is known, and then
// one that runs alone. This needs the news of a crash to reach the other nodes
// before the caller's next resend does; without contact the bound holds for
// each group of nodes in contact. A query to several shards can crash one
// server for each attempt of its first run, and then at most two that run
// alone.

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
// A node that runs a query alone and does not report its end is lost.
inline constexpr Duration kRunAloneTimeout = std::chrono::seconds(5);
// Crashes kept of one query; three are enough to refuse it.
inline constexpr size_t kMaxCrashes = 8;

// A server process that crashed.
struct CrashedServer {
  BackendServerId server;
  uint64_t incarnation = 0;

  auto operator<=>(const CrashedServer&) const = default;
};

struct CrashDetails {
  // Whether other queries were running on the server. Set also when another
  // query of any node is reported for the same crash.
  bool shared = false;
  // Whether it was an attempt of the first run of a query to several shards.
  bool fan_out = false;

  auto operator<=>(const CrashDetails&) const = default;
};

using Crashes = std::map<CrashedServer, CrashDetails>;

struct Suspect {
  Crashes crashes;
  SteadyTime last_crash;
  // The node that runs the query alone until `running_until`, or empty.
  NodeId runner;
  SteadyTime running_until;
};

struct CrashSuspects {
  std::map<Fingerprint, Suspect> suspects;
};

enum class FingerprintDecision {
  kRun,
  // One attempt without hedge or second shard. Call StartAlone() first.
  kRunAlone,
  // An attempt runs alone; ask again when it has ended.
  kBusy,
  kRefuse,
};

// What a node tells the others about a query.
struct Suspicion {
  Fingerprint fingerprint = 0;
  Crashes crashes;
  // The crashes above are withdrawn.
  bool cleared = false;
  // Time since the last crash.
  Duration age{};
  NodeId runner;

  bool operator==(const Suspicion&) const = default;
};

Fingerprint MakeFingerprint(const ServiceName& service, std::string_view text);

FingerprintDecision CheckFingerprint(const CrashSuspects& state,
                                     Fingerprint fingerprint,
                                     SteadyTime now);

// `runner` runs the query alone from now on. Also to be called when a
// connection was lost after sending, until it is known whether the server
// crashed. Tell the other nodes.
void StartAlone(CrashSuspects& state,
                Fingerprint fingerprint,
                const NodeId& runner,
                SteadyTime now);

// The attempt of `runner` has ended without a crash and without a success, or
// the server of the lost connection is alive. Tell the other nodes.
void EndAlone(CrashSuspects& state,
              Fingerprint fingerprint,
              const NodeId& runner);

// A server crashed while it ran the query; ends the run alone. Tell the other
// nodes before the caller gets an answer.
void RecordCrash(CrashSuspects& state,
                 Fingerprint fingerprint,
                 const CrashedServer& server,
                 const CrashDetails& details,
                 SteadyTime now);

// A run alone succeeded. Returns the crashes that this withdraws, to tell the
// other nodes; none when the query is refused already.
Crashes RecordSuccess(CrashSuspects& state, Fingerprint fingerprint);

// What to tell the other nodes after a change, or a node that was not in
// contact.
Suspicion DescribeSuspicion(const CrashSuspects& state,
                            Fingerprint fingerprint,
                            SteadyTime now);

// Takes over what the node `from` tells. A node speaks only for its own runs.
void MergeSuspicion(CrashSuspects& state,
                    const Suspicion& suspicion,
                    const NodeId& from,
                    SteadyTime now);

// Forgets suspects after kSuspectLifetime.
void RemoveExpired(CrashSuspects& state, SteadyTime now);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CRASH_SUSPECTS_H_
