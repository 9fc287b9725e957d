// Which change of the membership of the replicated log comes next.

#include "gooseberryrock/control/member_repair.h"

#include <algorithm>

namespace gooseberryrock::control {

namespace {

using consensus::Member;
using consensus::Membership;
using consensus::MembershipAction;
using consensus::MembershipChange;

struct View {
  const NodeId& self;
  const Membership& membership;
  const std::map<NodeId, HeardVm>& heard;
  const RepairPolicy& policy;
  SteadyTime now;

  bool HeardWithin(const NodeId& node, Duration time) const {
    if (node == self) {
      return true;
    }
    auto it = heard.find(node);
    return it != heard.end() && now - it->second.heard_at < time;
  }

  bool HasOtherDisk(const NodeId& node, const Member& member) const {
    auto it = heard.find(node);
    return node != self && it != heard.end() && !member.storage_id.empty() &&
           it->second.storage_id != member.storage_id &&
           HeardWithin(node, policy.present);
  }

  bool IsPresentVoter(const NodeId& node, const Member& member) const {
    return member.voter && HeardWithin(node, policy.present) &&
           !HasOtherDisk(node, member);
  }

  size_t Voters() const {
    return static_cast<size_t>(
        std::count_if(membership.members.begin(), membership.members.end(),
                      [](const auto& it) { return it.second.voter; }));
  }

  size_t PresentVoters() const {
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
                                HeardWithin(it.first, policy.present);
                       });
  }

  // Whether the log still commits entries without the voter `node`.
  bool MayRemove(const NodeId& node, const Member& member) const {
    if (!member.voter) {
      return true;
    }
    const size_t rest = Voters() - 1;
    const size_t present =
        PresentVoters() - (IsPresentVoter(node, member) ? 1 : 0);
    return rest > 0 && present > rest / 2;
  }
};

MembershipChange Change(MembershipAction action, const NodeId& node) {
  MembershipChange change;
  change.action = action;
  change.node = node;
  return change;
}

std::optional<MembershipChange> Removal(const View& view) {
  for (const auto& [node, member] : view.membership.members) {
    if (view.HasOtherDisk(node, member) && view.MayRemove(node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  for (const auto& [node, member] : view.membership.members) {
    const bool lost = member.voter
                          ? view.HasPresentLearner() &&
                                view.Voters() >= view.policy.voters &&
                                !view.HeardWithin(node, view.policy.voter_lost)
                          : !view.HeardWithin(node, view.policy.learner_lost);
    if (lost && view.heard.contains(node) && view.MayRemove(node, member)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> Addition(const View& view) {
  if (view.Voters() < view.policy.voters) {
    for (const auto& [node, member] : view.membership.members) {
      if (!member.voter && view.HeardWithin(node, view.policy.present)) {
        return Change(MembershipAction::kPromote, node);
      }
    }
  }
  for (const auto& [node, vm] : view.heard) {
    if (!view.membership.members.contains(node) && !vm.storage_id.empty() &&
        view.HeardWithin(node, view.policy.present)) {
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
    const std::map<NodeId, HeardVm>& heard,
    const RepairPolicy& policy,
    SteadyTime now) {
  const View view{self, membership, heard, policy, now};
  if (auto removal = Removal(view)) {
    return removal;
  }
  return Addition(view);
}

}  // namespace gooseberryrock::control
