// The leader's sending of entries and snapshots, and the followers' part.

#ifndef GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_
#define GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Sends what the in-flight bounds allow to each member.
void SendToAll(ConsensusState& state, SteadyTime now, Effects& effects);

// Sends heartbeats that are due and resends what was not answered in time.
void TickReplication(ConsensusState& state, SteadyTime now, Effects& effects);

// Commits what a quorum has synced. Steps down after committing the removal of
// this VM.
void AdvanceCommit(ConsensusState& state, Effects& effects);

// Leaders: adds and removes members of `progress` after a membership change.
void UpdateProgress(ConsensusState& state, SteadyTime now);

// Leaders: whether a quorum confirmed a request sent after `time`.
bool IsConfirmedSince(const ConsensusState& state, SteadyTime time);

// Followers. The message is of the current term and from its leader.
void HandleAppendRequest(ConsensusState& state,
                         Message message,
                         Effects& effects);
void HandleSnapshotRequest(ConsensusState& state,
                           Message message,
                           Effects& effects);

// Leaders. The message is of the current term.
void HandleAppendReply(ConsensusState& state,
                       const Message& message,
                       SteadyTime now,
                       Effects& effects);
void HandleSnapshotReply(ConsensusState& state,
                         const Message& message,
                         SteadyTime now,
                         Effects& effects);

// Leaders: sends TimeoutNow once the transfer's target has the whole log.
void ContinueTransfer(ConsensusState& state, Effects& effects);

// A message of the current term to `to`.
Message MakeMessage(const ConsensusState& state,
                    const NodeId& to,
                    MessageBody body);

// Ends the leadership or candidacy without a change of term.
void StepDown(ConsensusState& state);

// Suspends this VM when others know that it has acknowledged more than its disk
// says.
void CheckOwnDisk(ConsensusState& state,
                  const Acknowledgement& known,
                  Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_
