// Replication of entries and snapshots from the leader to the followers.

#ifndef GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_
#define GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Sends entries or snapshot chunks to each member, within the in-flight limits.
void SendToAll(ConsensusState& state, SteadyTime now, Effects& effects);

// Sends due heartbeats and resends requests that were not answered in time.
void TickReplication(ConsensusState& state, SteadyTime now, Effects& effects);

// Commits entries that a quorum has synced. Steps down after committing the
// removal of this VM.
void AdvanceCommit(ConsensusState& state, Effects& effects);

// Leaders: updates `progress` after a membership change.
void UpdateProgress(ConsensusState& state, SteadyTime now);

// Leaders: returns whether a quorum confirmed requests sent after `time`.
bool IsConfirmedSince(const ConsensusState& state, SteadyTime time);

// Followers. The message must be of the current term and from its leader.
void HandleAppendRequest(ConsensusState& state,
                         Message message,
                         Effects& effects);
void HandleSnapshotRequest(ConsensusState& state,
                           Message message,
                           Effects& effects);

// Leaders. The message must be of the current term.
void HandleAppendReply(ConsensusState& state,
                       const Message& message,
                       SteadyTime now,
                       Effects& effects);
void HandleSnapshotReply(ConsensusState& state,
                         const Message& message,
                         SteadyTime now,
                         Effects& effects);

// Leaders: sends TimeoutNow to the first voter that has the complete log.
void ContinueTransfer(ConsensusState& state, Effects& effects);

// Creates a message of the current term to `to`.
Message MakeMessage(const ConsensusState& state,
                    const NodeId& to,
                    MessageBody body);

// Becomes a follower without changing the term.
void StepDown(ConsensusState& state);

// Suspends this VM if others know of a later acknowledgement than the one on
// its disk, which means that the disk was rolled back.
void CheckOwnDisk(ConsensusState& state,
                  const Acknowledgement& known,
                  Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_REPLICATION_H_
