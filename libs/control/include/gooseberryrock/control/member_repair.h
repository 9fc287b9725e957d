// Which change of the membership of the replicated log comes next, so that lost
// disks and replaced VMs need no operator.

#ifndef GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_
#define GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_

#include <map>
#include <optional>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::control {

// What a control VM said of itself last.
struct HeardVm {
  std::string storage_id;
  SteadyTime heard_at;
};

struct RepairPolicy {
  // Voters wanted: with 2n + 1 the log survives the loss of n VMs.
  size_t voters = 3;
  // A VM that was heard within this time takes part: two hellos.
  Duration present = std::chrono::milliseconds(1200);
  // A voter that was silent for this long is replaced when a learner is there:
  // longer than a VM is cut off or restarted today.
  Duration voter_lost = std::chrono::seconds(12);
  // A learner that was silent for this long is forgotten.
  Duration learner_lost = std::chrono::seconds(60);
};

// The next change that the leader `self` should make, or nothing. A VM with
// another disk than the recorded one is removed first; it comes back as a
// learner, and learners become voters up to the wanted number. A removal never
// leaves fewer present voters than a majority of the rest.
std::optional<consensus::MembershipChange> NextRepair(
    const NodeId& self,
    const consensus::Membership& membership,
    const std::map<NodeId, HeardVm>& heard,
    const RepairPolicy& policy,
    SteadyTime now);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_
