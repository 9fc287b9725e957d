// The membership of the replicated log together with the latest contacts.

#include "membership_view.h"

#include <algorithm>

#include "gooseberryrock/control/member_repair.h"

namespace gooseberryrock::control {

using consensus::Member;

bool IsContactedWithin(const MembershipView& view,
                       const NodeId& node,
                       Duration time) {
  if (node == view.self) {
    return true;
  }
  auto it = view.contacts.find(node);
  return it != view.contacts.end() && view.now - it->second.last_contact < time;
}

bool IsPresent(const MembershipView& view, const NodeId& node) {
  return IsContactedWithin(view, node, view.policy.presence_timeout);
}

bool HasDifferentStorage(const MembershipView& view,
                         const NodeId& node,
                         const Member& member) {
  auto it = view.contacts.find(node);
  return node != view.self && it != view.contacts.end() &&
         !member.storage_id.empty() &&
         it->second.storage_id != member.storage_id && IsPresent(view, node);
}

bool IsPresentVoter(const MembershipView& view,
                    const NodeId& node,
                    const Member& member) {
  return member.voter && IsPresent(view, node) &&
         !HasDifferentStorage(view, node, member);
}

size_t CountVoters(const MembershipView& view) {
  return static_cast<size_t>(std::count_if(
      view.membership.members.begin(), view.membership.members.end(),
      [](const auto& it) { return it.second.voter; }));
}

size_t CountPresentVoters(const MembershipView& view) {
  return static_cast<size_t>(
      std::count_if(view.membership.members.begin(),
                    view.membership.members.end(), [&view](const auto& it) {
                      return IsPresentVoter(view, it.first, it.second);
                    }));
}

}  // namespace gooseberryrock::control
