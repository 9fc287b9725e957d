// Automatic repair of the replicated log's membership.

#include "gooseberryrock/control/member_repair.h"

#include <algorithm>

#include "membership_view.h"

namespace gooseberryrock::control {

namespace {

using consensus::Member;
using consensus::Membership;
using consensus::MembershipAction;
using consensus::MembershipChange;

bool HasPresentLearner(const MembershipView& view) {
  return std::any_of(view.membership.members.begin(),
                     view.membership.members.end(), [&view](const auto& it) {
                       return !it.second.voter && IsPresent(view, it.first);
                     });
}

// Returns whether the log can commit entries without `node`.
bool MayRemove(const MembershipView& view,
               const NodeId& node,
               const Member& member) {
  if (!member.voter) {
    return true;
  }
  const size_t rest = CountVoters(view) - 1;
  const size_t present =
      CountPresentVoters(view) - (IsPresentVoter(view, node, member) ? 1 : 0);
  return rest > 0 && present > rest / 2;
}

MembershipChange Change(MembershipAction action, const NodeId& node) {
  MembershipChange change;
  change.action = action;
  change.node = node;
  return change;
}

std::optional<MembershipChange> NextRemoval(const MembershipView& view) {
  for (const auto& [node, member] : view.membership.members) {
    if (HasDifferentStorage(view, node, member) &&
        MayRemove(view, node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  for (const auto& [node, member] : view.membership.members) {
    const bool lost =
        member.voter
            ? HasPresentLearner(view) &&
                  CountVoters(view) >= view.policy.voters &&
                  !IsContactedWithin(view, node, view.policy.voter_timeout)
            : !IsContactedWithin(view, node, view.policy.learner_timeout);
    if (lost && view.contacts.contains(node) && MayRemove(view, node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> NextAddition(const MembershipView& view) {
  if (CountVoters(view) < view.policy.voters) {
    for (const auto& [node, member] : view.membership.members) {
      if (!member.voter && IsPresent(view, node)) {
        return Change(MembershipAction::kPromote, node);
      }
    }
  }
  for (const auto& [node, vm] : view.contacts) {
    if (!view.membership.members.contains(node) && !vm.storage_id.empty() &&
        IsPresent(view, node)) {
      MembershipChange change = Change(MembershipAction::kAddLearner, node);
      change.storage_id = vm.storage_id;
      change.peer_address = node.value;
      return change;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipChange> NextRepair(
    const NodeId& self,
    const Membership& membership,
    const std::map<NodeId, VmContact>& contacts,
    const RepairPolicy& policy,
    SteadyTime now) {
  const MembershipView view{self, membership, contacts, policy, now};
  if (auto removal = NextRemoval(view)) {
    return removal;
  }
  return NextAddition(view);
}

}  // namespace gooseberryrock::control
