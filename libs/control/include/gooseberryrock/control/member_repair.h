// Automatic repair of the replicated log's membership: lost disks and replaced
// VMs are handled without an operator.

#ifndef GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_
#define GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus.h"

namespace gooseberryrock::control {

struct MembershipView;

// The intervals follow from the time that a deployment allows for the
// replacement of a VM.
struct RepairPolicy {
  // Target number of voters; 2n + 1 voters tolerate the loss of n VMs.
  size_t voters = 3;
  Duration hello_interval = std::chrono::milliseconds(500);
  // Interval of membership checks. Each makes at most one change.
  Duration check_interval = std::chrono::milliseconds(250);
  // A VM counts as present if a hello arrived within this time; covers two
  // hello intervals.
  Duration presence_timeout = std::chrono::milliseconds(1200);
  // A voter without contact for this long hands its vote to a learner if one is
  // present.
  Duration voter_timeout = std::chrono::seconds(2);
  // A learner without contact for this long is removed.
  Duration learner_timeout = std::chrono::seconds(60);
};

// Returns the policy with which a log tolerates `tolerated_losses` again at the
// latest `replacement_time` after the successor of a lost VM has started.
RepairPolicy MakeRepairPolicy(uint32_t tolerated_losses,
                              Duration replacement_time);

// Returns the next membership change that the leader `view.self` should make,
// if any. A VM whose storage id differs from its record is removed first and
// added again as a learner. A silent or leaving voter is replaced by a learner:
// the learner is promoted before the voter is removed, so that a voter that is
// only paused still counts if a disk is lost in between. A removal always
// leaves a majority of the remaining voters present.
std::optional<consensus::MembershipChange> NextRepair(
    const MembershipView& view,
    const RepairPolicy& policy);

// Whether the leaving VM `view.self` should keep running until another VM has
// its vote. `promoted_at` is set when the successor has become a voter: the
// leader removes this VM next, which does not receive the entry that says so.
bool AwaitsSuccessor(const MembershipView& view,
                     const RepairPolicy& policy,
                     std::optional<SteadyTime>& promoted_at);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_
