// Membership changes, one VM at a time.

#include <optional>
#include <set>
#include <utility>

#include "gooseberryrock/consensus/consensus.h"
#include "log.h"
#include "proposal.h"
#include "replication.h"

namespace gooseberryrock::consensus {

namespace {

bool IsCaughtUp(const ConsensusState& state, const NodeId& node) {
  auto it = state.progress.find(node);
  if (it == state.progress.end()) {
    return false;
  }
  const Progress& progress = it->second;
  return !progress.unresponsive && !progress.wrong_storage &&
         !progress.rolled_back && progress.confirmed && !progress.probing &&
         progress.match + state.config.max_promotion_lag >= LastIndex(state);
}

// Applies `change` to `membership`. Returns kNone on success, or the reason for
// the rejection.
RejectReason Apply(const ConsensusState& state,
                   const MembershipChange& change,
                   Membership& membership) {
  auto it = membership.members.find(change.node);
  const bool is_member = it != membership.members.end();
  switch (change.action) {
    case MembershipAction::kAddLearner:
      if (is_member) {
        return RejectReason::kAlreadyMember;
      }
      membership.members[change.node] = {change.storage_id, change.peer_address,
                                         /*voter=*/false};
      return RejectReason::kNone;
    case MembershipAction::kPromote:
      if (!is_member) {
        return RejectReason::kUnknownMember;
      }
      if (it->second.voter) {
        return RejectReason::kAlreadyMember;
      }
      if (!IsCaughtUp(state, change.node)) {
        return RejectReason::kNotCaughtUp;
      }
      it->second.voter = true;
      return RejectReason::kNone;
    case MembershipAction::kRemove:
      if (!is_member) {
        return RejectReason::kUnknownMember;
      }
      membership.members.erase(it);
      for (const auto& [node, member] : membership.members) {
        if (member.voter) {
          return RejectReason::kNone;
        }
      }
      return RejectReason::kLastVoter;
  }
  return RejectReason::kUnknownMember;
}

// Quorums of consecutive memberships are guaranteed to overlap only if the
// earlier change is committed. A committed entry of the leader's own term rules
// out that a change of an earlier leader, unknown to this one, is committed
// later.
bool IsChangePossible(const ConsensusState& state) {
  return state.membership_index <= state.commit_index &&
         TermAt(state, state.commit_index) == state.hard_state.term;
}

}  // namespace

std::set<NodeId> CaughtUpMembers(const ConsensusState& state) {
  std::set<NodeId> nodes;
  for (const auto& [node, progress] : state.progress) {
    if (IsCaughtUp(state, node)) {
      nodes.insert(node);
    }
  }
  return nodes;
}

Effects ChangeMembership(ConsensusState& state,
                         const MembershipChange& change,
                         SteadyTime now) {
  Effects effects;
  RejectReason reason = CheckProposable(state);
  if (reason == RejectReason::kNone && !IsChangePossible(state)) {
    reason = RejectReason::kChangeInProgress;
  }
  LogEntry entry;
  entry.kind = EntryKind::kMembership;
  entry.membership = state.membership;
  if (reason == RejectReason::kNone) {
    reason = Apply(state, change, entry.membership);
  }
  if (reason != RejectReason::kNone) {
    effects.outcomes.push_back(
        {change.id, ProposalStatus::kNotRun, reason, {}});
    return effects;
  }
  const LeadershipState before = GetLeadership(state);
  AppendProposed(state, std::move(entry), change.id, effects);
  UpdateProgress(state, now);
  SendToAll(state, now, effects);
  FinalizeEffects(state, before, effects);
  return effects;
}

}  // namespace gooseberryrock::consensus
