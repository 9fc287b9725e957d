// The membership of the replicated log together with the latest contacts, as
// one control VM sees it.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBERSHIP_VIEW_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <map>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::control {

struct RepairPolicy;
struct VmContact;

struct MembershipView {
  // The VM that holds this view; always present.
  const NodeId& self;
  const consensus::Membership& membership;
  const std::map<NodeId, VmContact>& contacts;
  const RepairPolicy& policy;
  SteadyTime now;
};

// Whether a message of `node` arrived within `time`.
bool IsContactedWithin(const MembershipView& view,
                       const NodeId& node,
                       Duration time);

// Whether the VM sends hellos.
bool IsPresent(const MembershipView& view, const NodeId& node);

// Whether the VM is present with another disk than the one it joined with.
bool HasDifferentStorage(const MembershipView& view,
                         const NodeId& node,
                         const consensus::Member& member);

// Whether `node` is a voter that is present with its disk.
bool IsPresentVoter(const MembershipView& view,
                    const NodeId& node,
                    const consensus::Member& member);

size_t CountVoters(const MembershipView& view);
size_t CountPresentVoters(const MembershipView& view);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_MEMBERSHIP_VIEW_H_
