// How many losses the replicated log still tolerates.

#include "gooseberryrock/control/voter_health.h"

#include <algorithm>

#include "gooseberryrock/control/membership_view.h"

namespace gooseberryrock::control {

VoterHealth AssessVoters(const MembershipView& view,
                         const RepairPolicy& policy) {
  VoterHealth health;
  for (const auto& [node, member] : view.membership.members) {
    if (!member.voter) {
      health.present_learners += IsPresent(view, policy, node) ? 1 : 0;
    } else if (HasDifferentStorage(view, policy, node)) {
      health.voters[node] = VoterState::kOtherDisk;
    } else {
      health.voters[node] = IsPresent(view, policy, node) ? VoterState::kPresent
                                                          : VoterState::kSilent;
    }
  }
  return health;
}

size_t CountPresent(const VoterHealth& health) {
  return static_cast<size_t>(std::count_if(
      health.voters.begin(), health.voters.end(),
      [](const auto& it) { return it.second == VoterState::kPresent; }));
}

int ToleratedLosses(const VoterHealth& health) {
  const size_t majority = health.voters.size() / 2 + 1;
  return static_cast<int>(CountPresent(health)) - static_cast<int>(majority);
}

std::string MissingVoters(const VoterHealth& health) {
  std::string text;
  for (const auto& [node, state] : health.voters) {
    if (state != VoterState::kPresent) {
      text += (text.empty() ? "" : ",") + node.value +
              (state == VoterState::kSilent ? ":silent" : ":other_disk");
    }
  }
  return text;
}

}  // namespace gooseberryrock::control
