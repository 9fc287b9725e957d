// Stops queries that crash backend servers from being sent to more of them.

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
  // Sends the suspicion to all other nodes. Called without the lock held.
  using CrashSuspicionSender =
      std::function<void(const claims::CrashSuspicion&)>;

  CrashGuard(NodeId self, CrashSuspicionSender send);

  // Returns how a query may run. EndRun() must follow kRun and kRunExclusive.
  claims::FingerprintDecision BeginRun(claims::Fingerprint fingerprint,
                                       SteadyTime now);

  // Records that a server crashed during a run started by this node. `shared`:
  // other queries of this node were running on the server.
  void OnCrash(claims::Fingerprint fingerprint,
               const claims::CrashedServer& server,
               bool shared);

  // `answered`: a server answered the query in this run, so the query does not
  // crash every server that runs it. The crashes of the run are then not
  // attributed to the query.
  void EndRun(claims::Fingerprint fingerprint, bool answered, SteadyTime now);

  void OnCrashSuspicion(const NodeId& from,
                        const claims::CrashSuspicion& suspicion,
                        SteadyTime now);

 private:
  // Requires the lock to be held.
  std::optional<claims::CrashSuspicion>
  FinishRun(claims::Fingerprint fingerprint, bool answered, SteadyTime now);

  const NodeId self_;
  const CrashSuspicionSender send_;
  // Set while there are suspects or crashes to look up. While it is clear,
  // queries skip the shared lock.
  std::atomic<bool> active_ = false;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  claims::CrashSuspects suspects_;
  // Crashes during runs that have not ended. The value says whether the server
  // was shared.
  std::map<claims::Fingerprint, std::map<claims::CrashedServer, bool>> crashes_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CRASH_GUARD_H_
