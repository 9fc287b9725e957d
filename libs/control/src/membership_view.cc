// The membership of the replicated log together with the latest contacts.

#include "gooseberryrock/control/membership_view.h"

#include <algorithm>

#include "gooseberryrock/control/member_repair.h"

namespace gooseberryrock::control {

bool IsPresent(const MembershipView& view,
               const RepairPolicy& policy,
               const NodeId& node) {
  if (node == view.self) {
    return true;
  }
  auto it = view.contacts.find(node);
  return it != view.contacts.end() &&
         view.now - it->second.last_contact < policy.presence_timeout;
}

bool IsSilentFor(const MembershipView& view,
                 const NodeId& node,
                 Duration time) {
  if (node == view.self) {
    return false;
  }
  auto it = view.contacts.find(node);
  const SteadyTime since =
      it == view.contacts.end()
          ? view.listening_since
          : std::max(it->second.last_contact, view.listening_since);
  return view.now - since >= time;
}

bool IsLeaving(const MembershipView& view, const NodeId& node) {
  auto it = view.contacts.find(node);
  return it != view.contacts.end() && it->second.leaving;
}

bool HasDifferentStorage(const MembershipView& view,
                         const RepairPolicy& policy,
                         const NodeId& node) {
  auto member = view.membership.members.find(node);
  auto contact = view.contacts.find(node);
  return node != view.self && member != view.membership.members.end() &&
         contact != view.contacts.end() && !member->second.storage_id.empty() &&
         contact->second.storage_id != member->second.storage_id &&
         IsPresent(view, policy, node);
}

bool IsPresentVoter(const MembershipView& view,
                    const RepairPolicy& policy,
                    const NodeId& node) {
  return consensus::IsVoter(view.membership, node) &&
         IsPresent(view, policy, node) &&
         !HasDifferentStorage(view, policy, node);
}

size_t CountVoters(const MembershipView& view) {
  return static_cast<size_t>(std::count_if(
      view.membership.members.begin(), view.membership.members.end(),
      [](const auto& it) { return it.second.voter; }));
}

size_t CountPresentVoters(const MembershipView& view,
                          const RepairPolicy& policy) {
  return static_cast<size_t>(std::count_if(
      view.membership.members.begin(), view.membership.members.end(),
      [&](const auto& it) { return IsPresentVoter(view, policy, it.first); }));
}

}  // namespace gooseberryrock::control
