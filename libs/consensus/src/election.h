// Pre-votes, votes and the start of a leadership.

#ifndef GOOSEBERRYROCK_CONSENSUS_ELECTION_H_
#define GOOSEBERRYROCK_CONSENSUS_ELECTION_H_

#include <cstdint>
#include <random>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Sets the next election deadline at random.
void ResetElectionDeadline(ConsensusState& state,
                           SteadyTime now,
                           std::mt19937_64& random);

// Starts a pre-vote when the election deadline has passed.
void TickElection(ConsensusState& state,
                  SteadyTime now,
                  std::mt19937_64& random,
                  Effects& effects);

// Becomes a follower in the later term `term`.
void EnterTerm(ConsensusState& state, uint64_t term, Effects& effects);

// Becomes the leader when the synced votes suffice.
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

// The message is of the current term.
void HandleTimeoutNow(ConsensusState& state,
                      SteadyTime now,
                      std::mt19937_64& random,
                      Effects& effects);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_ELECTION_H_
