// Automatic repair of the replicated log's membership.

#include "gooseberryrock/control/member_repair.h"

#include <algorithm>

namespace gooseberryrock::control {

namespace {

using consensus::Member;
using consensus::Membership;
using consensus::MembershipAction;
using consensus::MembershipChange;

struct RepairInput {
  const NodeId& self;
  const Membership& membership;
  const std::map<NodeId, VmContact>& contacts;
  const RepairPolicy& policy;
  SteadyTime now;

  bool ContactedWithin(const NodeId& node, Duration time) const {
    if (node == self) {
      return true;
    }
    auto it = contacts.find(node);
    return it != contacts.end() && now - it->second.last_contact < time;
  }

  bool HasDifferentStorage(const NodeId& node, const Member& member) const {
    auto it = contacts.find(node);
    return node != self && it != contacts.end() && !member.storage_id.empty() &&
           it->second.storage_id != member.storage_id &&
           ContactedWithin(node, policy.presence_timeout);
  }

  bool IsPresentVoter(const NodeId& node, const Member& member) const {
    return member.voter && ContactedWithin(node, policy.presence_timeout) &&
           !HasDifferentStorage(node, member);
  }

  size_t CountVoters() const {
    return static_cast<size_t>(
        std::count_if(membership.members.begin(), membership.members.end(),
                      [](const auto& it) { return it.second.voter; }));
  }

  size_t CountPresentVoters() const {
    return static_cast<size_t>(
        std::count_if(membership.members.begin(), membership.members.end(),
                      [this](const auto& it) {
                        return IsPresentVoter(it.first, it.second);
                      }));
  }

  bool HasPresentLearner() const {
    return std::any_of(membership.members.begin(), membership.members.end(),
                       [this](const auto& it) {
                         return !it.second.voter &&
                                ContactedWithin(it.first,
                                                policy.presence_timeout);
                       });
  }

  // Returns whether the log can commit entries without `node`.
  bool MayRemove(const NodeId& node, const Member& member) const {
    if (!member.voter) {
      return true;
    }
    const size_t rest = CountVoters() - 1;
    const size_t present =
        CountPresentVoters() - (IsPresentVoter(node, member) ? 1 : 0);
    return rest > 0 && present > rest / 2;
  }
};

MembershipChange Change(MembershipAction action, const NodeId& node) {
  MembershipChange change;
  change.action = action;
  change.node = node;
  return change;
}

std::optional<MembershipChange> NextRemoval(const RepairInput& view) {
  for (const auto& [node, member] : view.membership.members) {
    if (view.HasDifferentStorage(node, member) &&
        view.MayRemove(node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  for (const auto& [node, member] : view.membership.members) {
    const bool lost =
        member.voter
            ? view.HasPresentLearner() &&
                  view.CountVoters() >= view.policy.voters &&
                  !view.ContactedWithin(node, view.policy.voter_timeout)
            : !view.ContactedWithin(node, view.policy.learner_timeout);
    if (lost && view.contacts.contains(node) && view.MayRemove(node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> NextAddition(const RepairInput& view) {
  if (view.CountVoters() < view.policy.voters) {
    for (const auto& [node, member] : view.membership.members) {
      if (!member.voter &&
          view.ContactedWithin(node, view.policy.presence_timeout)) {
        return Change(MembershipAction::kPromote, node);
      }
    }
  }
  for (const auto& [node, vm] : view.contacts) {
    if (!view.membership.members.contains(node) && !vm.storage_id.empty() &&
        view.ContactedWithin(node, view.policy.presence_timeout)) {
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
  const RepairInput view{self, membership, contacts, policy, now};
  if (auto removal = NextRemoval(view)) {
    return removal;
  }
  return NextAddition(view);
}

}  // namespace gooseberryrock::control
