// Leader election: pre-votes, votes and becoming leader.

#ifndef GOOSEBERRYROCK_CONSENSUS_ELECTION_H_
#define GOOSEBERRYROCK_CONSENSUS_ELECTION_H_

#include <cstdint>
#include <random>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Sets a random election deadline between the minimum and maximum timeout.
void ResetElectionDeadline(ConsensusState& state,
                           SteadyTime now,
                           std::mt19937_64& random);

// Starts a pre-vote if the election deadline has passed.
void TickElection(ConsensusState& state,
                  SteadyTime now,
                  std::mt19937_64& random,
                  Effects& effects);

// Becomes a follower in `term`, which is later than the current one.
void EnterTerm(ConsensusState& state, uint64_t term, Effects& effects);

// Becomes the leader if the granted votes form a quorum.
void FinishElection(ConsensusState& state, SteadyTime now, Effects& effects);

void HandleVoteRequest(ConsensusState& state,
                       const Message& message,
                       SteadyTime now,
                       std::mt19937_64& random,
                       Effects& effects);

void HandleVoteReply(ConsensusState& state,
                     const Message& message,
                     SteadyTime now,
                     std::mt19937_64& random,
                     Effects& effects);

// The message must be of the current term.
void HandleTimeoutNow(ConsensusState& state,
                      SteadyTime now,
                      std::mt19937_64& random,
                      Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_ELECTION_H_
