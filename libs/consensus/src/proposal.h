// Internal functions shared by the public functions.

#ifndef GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_
#define GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"

namespace gooseberryrock::consensus {

// The part of the state whose changes are reported in Effects::leadership.
struct LeadershipState {
  bool is_leader = false;
  uint64_t term = 0;
  NodeId leader;
};

LeadershipState GetLeadership(const ConsensusState& state);

// Sets Effects::sync, and Effects::leadership if it differs from `before`.
void FinalizeEffects(const ConsensusState& state,
                     const LeadershipState& before,
                     Effects& effects);

// Returns why this VM cannot accept proposals now, or kNone if it can.
RejectReason CheckProposable(const ConsensusState& state);

// Appends `entry` at the next position in the leader's term and registers the
// proposal as pending.
void AppendProposed(ConsensusState& state,
                    LogEntry entry,
                    ProposalId id,
                    Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_
