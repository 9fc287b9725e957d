// The replicated log as a state machine: each function takes one event and
// returns what to do about it. The order in which the runtime carries out
// effects is described at struct Effects.

#ifndef GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_
#define GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// What a VM finds in its data folder when it starts.
struct StoredState {
  HardState hard_state;
  // With last.index 0 and the initial membership when there is no snapshot.
  Snapshot snapshot;
  // Without gaps. The first one follows snapshot.last or lies before it.
  std::vector<LogEntry> entries;
};

// The state of a VM that starts now. `stored.snapshot.membership` of an empty
// data folder is InitialMembership() on the VMs of a new cluster and empty on a
// VM that joins an existing one. The VM neither votes nor starts an election
// for election_timeout_max: it does not know when it last heard from a leader,
// and a leader may still rely on its lease.
//
// The state machine of the runtime starts from `stored.snapshot`. The first
// Tick(), to be called at once, hands out the entries behind it that the VM
// knows to be committed.
ConsensusState StartConsensus(const NodeId& self,
                              std::string storage_id,
                              StoredState stored,
                              const ConsensusConfig& config,
                              SteadyTime now,
                              std::mt19937_64& random);

// Handles passed timers. To be called at NextTick() or later.
Effects Tick(ConsensusState& state, SteadyTime now, std::mt19937_64& random);

// When Tick() has to be called next, unless another event comes first.
SteadyTime NextTick(const ConsensusState& state);

Effects HandleMessage(ConsensusState& state,
                      Message message,
                      SteadyTime now,
                      std::mt19937_64& random);

// The sync of an earlier Effects is done.
Effects OnPersisted(ConsensusState& state,
                    const SyncPoint& point,
                    SteadyTime now);

struct Proposal {
  ProposalId id = 0;
  std::string payload;
};

// Appends all proposals with one sync. Each gets one ProposalOutcome, now or
// later; after Effects::leadership reports the loss of the leadership it may
// never come, and the result is unknown to this VM.
Effects Propose(ConsensusState& state,
                std::vector<Proposal> proposals,
                SteadyTime now);

enum class MembershipAction { kAddLearner, kPromote, kRemove };

// Adds a learner, makes a learner a voter, or removes a member. A member is
// replaced by removing it and adding it again with its new storage id.
struct MembershipChange {
  ProposalId id = 0;
  MembershipAction action = MembershipAction::kAddLearner;
  NodeId node;
  // Only for kAddLearner.
  std::string storage_id;
  std::string peer_address;
};

Effects ChangeMembership(ConsensusState& state,
                         const MembershipChange& change,
                         SteadyTime now);

// Hands the leadership to the voter with the longest log before a graceful
// shutdown. Done when Effects::leadership reports another role, at the latest
// after election_timeout_min. Does nothing on a VM that does not lead.
Effects TransferLeadership(ConsensusState& state, SteadyTime now);

// Whether the state machine, once it has applied all committed entries, is
// provably up to date. A process may be paused between any two statements:
// the runtime reads the clock and calls this after it has made an answer and
// before it sends it.
bool HasLease(const ConsensusState& state, SteadyTime now);

// Whether Effects::committed has covered snapshot_interval entries since the
// last snapshot.
bool IsSnapshotDue(const ConsensusState& state);

// Records a snapshot of the state machine after all entries that were handed
// out as Effects::committed. The effects write it and compact the log.
Effects TakeSnapshot(ConsensusState& state, std::string data);

// Position of the last entry of the log.
Position LastPosition(const ConsensusState& state);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_
