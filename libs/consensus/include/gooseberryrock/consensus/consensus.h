// The consensus protocol as a deterministic state machine without I/O. Each
// function handles one event and returns the resulting Effects, which the
// runtime executes in the order documented at struct Effects.

#ifndef GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_
#define GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Persistent state that a VM loads from its data folder at startup.
struct StoredState {
  HardState hard_state;
  // Without a snapshot: last.index 0 and the initial membership.
  Snapshot snapshot;
  // Contiguous. The first entry directly follows snapshot.last or precedes it.
  std::vector<LogEntry> entries;
};

// Creates the state of a VM at startup. For an empty data folder,
// `stored.snapshot.membership` is InitialMembership() on the VMs of a new
// cluster and empty on a VM that joins an existing cluster. The VM neither
// votes nor starts an election for election_timeout_max: the time of its last
// contact with a leader is unknown, and a leader may still hold a lease.
//
// The runtime's state machine starts from `stored.snapshot`. The first Tick(),
// which must be called immediately, returns the entries after the snapshot that
// are known to be committed.
ConsensusState StartConsensus(const NodeId& self,
                              std::string storage_id,
                              StoredState stored,
                              const ConsensusConfig& config,
                              SteadyTime now,
                              std::mt19937_64& random);

// Handles expired timers. Must be called at NextTick() or later.
Effects Tick(ConsensusState& state, SteadyTime now, std::mt19937_64& random);

// The time of the next Tick() call; any other event may change it.
SteadyTime NextTick(const ConsensusState& state);

Effects HandleMessage(ConsensusState& state,
                      Message message,
                      SteadyTime now,
                      std::mt19937_64& random);

// Reports that the sync requested by an earlier Effects has completed.
Effects OnPersisted(ConsensusState& state,
                    const SyncPoint& point,
                    SteadyTime now);

struct Proposal {
  ProposalId id = 0;
  std::string payload;
};

// Appends all proposals with one sync. Each proposal gets one ProposalOutcome,
// in these or later Effects. After Effects::leadership reports a loss of
// leadership, the outcome may never arrive; the result is then unknown.
Effects Propose(ConsensusState& state,
                std::vector<Proposal> proposals,
                SteadyTime now);

enum class MembershipAction { kAddLearner, kPromote, kRemove };

// Adds a learner, promotes a learner to voter, or removes a member. To replace
// a member, remove it and add it again with its new storage id.
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

// Leaders: returns the members that lack few entries, if any. Only these may be
// promoted. Empty on other VMs.
std::set<NodeId> CaughtUpMembers(const ConsensusState& state);

// Transfers leadership to an up-to-date voter before a graceful shutdown.
// Complete when Effects::leadership reports another role, at the latest after
// election_timeout_min. Has no effect on a VM that is not the leader.
Effects TransferLeadership(ConsensusState& state, SteadyTime now);

// Returns whether the state machine, with all committed entries applied, is
// guaranteed to be up to date. Because the process may be paused at any point,
// the runtime must read the clock and call this after computing an answer and
// before sending it.
bool HasLease(const ConsensusState& state, SteadyTime now);

// Returns whether at least snapshot_interval entries were committed since the
// last snapshot.
bool IsSnapshotDue(const ConsensusState& state);

// Records a snapshot of the state machine that covers all entries returned so
// far in Effects::committed. The effects store it and compact the log.
Effects TakeSnapshot(ConsensusState& state, std::string data);

// Returns the position of the last log entry.
Position LastPosition(const ConsensusState& state);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_H_
