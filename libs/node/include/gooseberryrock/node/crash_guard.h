// Keeps queries that crash backend servers from reaching more of them.

#ifndef GOOSEBERRYROCK_NODE_CRASH_GUARD_H_
#define GOOSEBERRYROCK_NODE_CRASH_GUARD_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/claims/crash_suspects.h"

namespace gooseberryrock::node {

class CrashGuard {
 public:
  // Tells all other nodes. Called without the lock.
  using SuspicionSender = std::function<void(const claims::Suspicion&)>;

  CrashGuard(NodeId self, SuspicionSender send);

  // How a query may run. After kRun and kRunAlone, EndRun() must follow.
  claims::FingerprintDecision BeginRun(claims::Fingerprint fingerprint,
                                       SteadyTime now);

  // A server crashed during a run that this node began. `shared`: other queries
  // of this node were running on it.
  void OnCrash(claims::Fingerprint fingerprint,
               const claims::CrashedServer& server,
               bool shared);

  // `answered`: a server has answered the query in this run, which says that
  // the query does not crash each server that runs it. The crashes of the run
  // are not held against it then.
  void EndRun(claims::Fingerprint fingerprint, bool answered, SteadyTime now);

  void OnSuspicion(const NodeId& from,
                   const claims::Suspicion& suspicion,
                   SteadyTime now);

 private:
  // The lock is held.
  std::optional<claims::Suspicion> CloseRun(claims::Fingerprint fingerprint,
                                            bool answered,
                                            SteadyTime now);

  const NodeId self_;
  const SuspicionSender send_;
  // Set while there is anything to look up, so that queries take no lock that
  // all of them share as long as nothing crashes.
  std::atomic<bool> active_ = false;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  claims::CrashSuspects suspects_;
  // Crashes of runs that have not ended; the value says whether the server was
  // shared.
  std::map<claims::Fingerprint, std::map<claims::CrashedServer, bool>> crashes_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CRASH_GUARD_H_
