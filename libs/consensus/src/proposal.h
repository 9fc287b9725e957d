// Parts that all functions of the public interface share.

#ifndef GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_
#define GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"

namespace gooseberryrock::consensus {

// What Effects::leadership reports changes of.
struct Observed {
  bool leads = false;
  uint64_t term = 0;
  NodeId leader;
};

Observed Observe(const ConsensusState& state);

// Fills in the sync point and the change of leadership.
void Finish(const ConsensusState& state,
            const Observed& before,
            Effects& effects);

// Why this VM accepts no proposals now; kNone when it does.
RejectReason CheckProposable(const ConsensusState& state);

// Appends `entry` at the next position of the leader's term.
void AppendProposed(ConsensusState& state,
                    LogEntry entry,
                    ProposalId id,
                    Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_PROPOSAL_H_
