// Automatic repair of the replicated log's membership.

#include "gooseberryrock/control/member_repair.h"

#include <algorithm>

#include "gooseberryrock/control/membership_view.h"

namespace gooseberryrock::control {

namespace {

using consensus::MembershipAction;
using consensus::MembershipChange;

// Upper bounds of the intervals, for deployments that allow much time. Shorter
// silences than two hellos are not losses.
constexpr Duration kMaxHelloInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxCheckInterval = std::chrono::milliseconds(250);
// Fractions of the replacement time. A vote is handed over after half of it:
// two checks, two synced entries and an election fit into the rest.
constexpr int kHellosInReplacementTime = 8;
constexpr int kChecksInReplacementTime = 16;
constexpr int kVoterTimeoutsInReplacementTime = 2;
constexpr double kPresenceHellos = 2.4;

MembershipChange Change(MembershipAction action, const NodeId& node) {
  MembershipChange change;
  change.action = action;
  change.node = node;
  return change;
}

// Whether the voter will not vote for long, or not at all.
bool IsLost(const MembershipView& view,
            const RepairPolicy& policy,
            const NodeId& node) {
  return IsLeaving(view, node) || HasDifferentStorage(view, policy, node) ||
         IsSilentFor(view, node, policy.voter_timeout);
}

size_t CountLostVoters(const MembershipView& view, const RepairPolicy& policy) {
  return static_cast<size_t>(
      std::count_if(view.membership.members.begin(),
                    view.membership.members.end(), [&](const auto& it) {
                      return it.second.voter && IsLost(view, policy, it.first);
                    }));
}

// Returns whether the log can commit entries without `node`.
bool MayRemove(const MembershipView& view,
               const RepairPolicy& policy,
               const NodeId& node) {
  if (!consensus::IsVoter(view.membership, node)) {
    return true;
  }
  const size_t rest = CountVoters(view) - 1;
  const size_t present = CountPresentVoters(view, policy) -
                         (IsPresentVoter(view, policy, node) ? 1 : 0);
  return rest > 0 && present > rest / 2;
}

std::optional<MembershipChange> RemoveOtherDisk(const MembershipView& view,
                                                const RepairPolicy& policy) {
  for (const auto& [node, member] : view.membership.members) {
    if (HasDifferentStorage(view, policy, node) &&
        MayRemove(view, policy, node)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  return std::nullopt;
}

// Removes a voter beyond the target number: a lost one, or otherwise the last
// one by id.
std::optional<MembershipChange> RemoveSurplusVoter(const MembershipView& view,
                                                   const RepairPolicy& policy) {
  if (CountVoters(view) <= policy.voters) {
    return std::nullopt;
  }
  NodeId surplus;
  for (const auto& [node, member] : view.membership.members) {
    if (!member.voter || node == view.self || !MayRemove(view, policy, node)) {
      continue;
    }
    if (IsLost(view, policy, node)) {
      return Change(MembershipAction::kRemove, node);
    }
    surplus = node;
  }
  // A voter that is silent for less than the timeout is likely the surplus one.
  if (surplus.empty() || CountPresentVoters(view, policy) <= policy.voters) {
    return std::nullopt;
  }
  return Change(MembershipAction::kRemove, surplus);
}

std::optional<MembershipChange> RemoveLostLearner(const MembershipView& view,
                                                  const RepairPolicy& policy) {
  for (const auto& [node, member] : view.membership.members) {
    if (!member.voter && IsSilentFor(view, node, policy.learner_timeout)) {
      return Change(MembershipAction::kRemove, node);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> PromoteLearner(const MembershipView& view,
                                               const RepairPolicy& policy) {
  const size_t voters = CountVoters(view);
  const size_t lost = CountLostVoters(view, policy);
  if (voters > policy.voters || voters - lost >= policy.voters) {
    return std::nullopt;
  }
  for (const auto& [node, member] : view.membership.members) {
    if (!member.voter && view.caught_up.contains(node) &&
        IsPresent(view, policy, node) && !IsLeaving(view, node)) {
      return Change(MembershipAction::kPromote, node);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> AddLearner(const MembershipView& view,
                                           const RepairPolicy& policy) {
  for (const auto& [node, vm] : view.contacts) {
    if (!view.membership.members.contains(node) && !vm.storage_id.empty() &&
        !vm.leaving && IsPresent(view, policy, node)) {
      MembershipChange change = Change(MembershipAction::kAddLearner, node);
      change.storage_id = vm.storage_id;
      change.peer_address = node.value;
      return change;
    }
  }
  return std::nullopt;
}

}  // namespace

RepairPolicy MakeRepairPolicy(uint32_t tolerated_losses,
                              Duration replacement_time) {
  RepairPolicy policy;
  policy.voters = 2 * tolerated_losses + 1;
  policy.hello_interval =
      std::min(kMaxHelloInterval, replacement_time / kHellosInReplacementTime);
  policy.check_interval =
      std::min(kMaxCheckInterval, replacement_time / kChecksInReplacementTime);
  policy.presence_timeout = std::chrono::duration_cast<Duration>(
      policy.hello_interval * kPresenceHellos);
  policy.voter_timeout = replacement_time / kVoterTimeoutsInReplacementTime;
  return policy;
}

std::optional<MembershipChange> NextRepair(const MembershipView& view,
                                           const RepairPolicy& policy) {
  for (const auto& step : {RemoveOtherDisk, RemoveSurplusVoter, PromoteLearner,
                           AddLearner, RemoveLostLearner}) {
    if (auto change = step(view, policy)) {
      return change;
    }
  }
  return std::nullopt;
}

bool AwaitsSuccessor(const MembershipView& view,
                     const RepairPolicy& policy,
                     std::optional<SteadyTime>& promoted_at) {
  if (!consensus::IsVoter(view.membership, view.self)) {
    return false;
  }
  if (CountVoters(view) > policy.voters) {
    promoted_at = promoted_at.value_or(view.now);
    return view.now - *promoted_at < 2 * policy.check_interval;
  }
  return std::any_of(view.membership.members.begin(),
                     view.membership.members.end(), [&](const auto& it) {
                       return !it.second.voter &&
                              IsPresent(view, policy, it.first) &&
                              !IsLeaving(view, it.first);
                     });
}

}  // namespace gooseberryrock::control
