// Watches the membership of the replicated log on a control VM: reports missing
// voters, repairs the membership while this VM leads, and hands over its vote
// when it stops.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBER_MAINTENANCE_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBER_MAINTENANCE_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/member_repair.h"
#include "gooseberryrock/control/voter_health.h"

namespace gooseberryrock::control {

class ControlPeers;
class ReplicatedLog;
struct LogStatus;
struct MembershipView;

class MemberMaintenance {
 public:
  // `peers` and `log` must outlive this object.
  MemberMaintenance(const NodeId& self,
                    uint32_t tolerated_losses,
                    const RepairPolicy& policy,
                    const ControlPeers& peers,
                    ReplicatedLog& log,
                    SteadyTime now);

  // Reports and repairs. Called at the check interval, on one thread.
  void Check(SteadyTime now);

  // Thread-safe.
  VoterHealth Assess(SteadyTime now) const;

  // Whether this VM, which stops, should keep running until another one has its
  // vote. Called on one thread.
  bool IsHandingOver(SteadyTime now);

 private:
  MembershipView ViewOf(const LogStatus& status, SteadyTime now) const;
  void LogVoterChanges(const MembershipView& view, const NodeId& leader);
  void Repair(const MembershipView& view, const NodeId& leader);

  const NodeId self_;
  const uint32_t tolerated_losses_;
  const RepairPolicy policy_;
  const ControlPeers& peers_;
  ReplicatedLog& log_;
  const SteadyTime started_at_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Since when this VM has received hellos without a
  // pause.
  SteadyTime listening_since_;

  // Used by Check() only.
  SteadyTime last_check_;
  VoterHealth logged_voters_;
  // Used by IsHandingOver() only: when the successor became a voter.
  std::optional<SteadyTime> promoted_at_;
  // A change is in progress.
  std::atomic<bool> repair_pending_ = false;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBER_MAINTENANCE_H_
