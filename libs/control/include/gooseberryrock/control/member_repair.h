// Automatic repair of the replicated log's membership: lost disks and replaced
// VMs are handled without an operator.

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

// Latest information that a control VM sent about itself.
struct VmContact {
  std::string storage_id;
  SteadyTime last_contact;
};

struct RepairPolicy {
  // Target number of voters; 2n + 1 voters tolerate the loss of n VMs.
  size_t voters = 3;
  // A VM counts as present if a hello arrived within this time; covers two
  // hello intervals.
  Duration presence_timeout = std::chrono::milliseconds(1200);
  // A voter without contact for this long is replaced if a learner is present.
  // Longer than a VM restart or a usual network interruption.
  Duration voter_timeout = std::chrono::seconds(12);
  // A learner without contact for this long is removed.
  Duration learner_timeout = std::chrono::seconds(60);
};

// Returns the next membership change that the leader `self` should make, if
// any. A VM whose storage id differs from its record is removed first and added
// again as a learner. Learners are promoted up to the target number of voters.
// A removal always leaves a majority of the remaining voters present.
std::optional<consensus::MembershipChange> NextRepair(
    const NodeId& self,
    const consensus::Membership& membership,
    const std::map<NodeId, VmContact>& contacts,
    const RepairPolicy& policy,
    SteadyTime now);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_MEMBER_REPAIR_H_
