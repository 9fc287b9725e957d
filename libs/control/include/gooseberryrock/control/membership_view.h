// The membership of the replicated log together with the latest contacts, as
// one control VM sees it.

#ifndef GOOSEBERRYROCK_CONTROL_MEMBERSHIP_VIEW_H_
#define GOOSEBERRYROCK_CONTROL_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <map>
#include <set>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/membership.h"
#include "gooseberryrock/control/vm_contact.h"

namespace gooseberryrock::control {

struct RepairPolicy;

struct MembershipView {
  // The VM that holds this view; always present.
  NodeId self;
  consensus::Membership membership;
  // Empty unless `self` is the leader.
  std::set<NodeId> caught_up;
  std::map<NodeId, VmContact> contacts;
  // Since when `self` has listened to the others without a pause. Silence
  // before that says nothing about them.
  SteadyTime listening_since;
  SteadyTime now;
};

// Whether the VM sends hellos.
bool IsPresent(const MembershipView& view,
               const RepairPolicy& policy,
               const NodeId& node);

// Whether the VM has sent no hello for `time` although this VM listened.
bool IsSilentFor(const MembershipView& view, const NodeId& node, Duration time);

bool IsLeaving(const MembershipView& view, const NodeId& node);

// Whether the VM is present with another disk than the one it joined with.
bool HasDifferentStorage(const MembershipView& view,
                         const RepairPolicy& policy,
                         const NodeId& node);

// Whether `node` is a voter that is present with its disk.
bool IsPresentVoter(const MembershipView& view,
                    const RepairPolicy& policy,
                    const NodeId& node);

size_t CountVoters(const MembershipView& view);
size_t CountPresentVoters(const MembershipView& view,
                          const RepairPolicy& policy);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_MEMBERSHIP_VIEW_H_
