// Actions that the runtime executes after a consensus event.

#ifndef GOOSEBERRYROCK_CONSENSUS_EFFECTS_H_
#define GOOSEBERRYROCK_CONSENSUS_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/hard_state.h"
#include "gooseberryrock/consensus/log_entry.h"
#include "gooseberryrock/consensus/message.h"

namespace gooseberryrock::consensus {

// Identifies the data covered by a sync; passed back to OnPersisted().
struct SyncPoint {
  uint64_t term = 0;
  Position last;
};

enum class ProposalStatus {
  // Committed; the entry is in Effects::committed of the same Effects.
  kCommitted,
  // Will never be committed.
  kNotRun,
  // May have been committed: an installed snapshot covers its index.
  kUnknown,
};

enum class RejectReason {
  kNone,
  kNotLeader,
  kTransferringLeadership,
  kPayloadTooLarge,
  // Another entry was committed at the index of the proposal.
  kReplaced,
  // Another membership change is in progress, or the leader has not yet
  // committed an entry of its term.
  kChangeInProgress,
  kUnknownMember,
  kAlreadyMember,
  // The learner lacks too many entries or does not respond.
  kNotCaughtUp,
  // The last voter cannot be removed.
  kLastVoter,
};

struct ProposalOutcome {
  ProposalId id = 0;
  ProposalStatus status = ProposalStatus::kNotRun;
  RejectReason reason = RejectReason::kNone;
  // Position of the entry if committed.
  Position position;
};

struct LeadershipChange {
  Role role = Role::kFollower;
  uint64_t term = 0;
  // Empty when unknown.
  NodeId leader;
};

// A VM that is excluded from quorums because of its disk.
struct RefusedStorage {
  NodeId node;
  std::string storage_id;
  // True if the disk was rolled back; false if its storage id differs from the
  // membership.
  bool rolled_back = false;
};

// The runtime executes Effects one after another, each in this order:
// 1. Sends send_at_once.
// 2. If `sync` is set, writes install_snapshot, truncate_from, append and
//    hard_state, in this order, and syncs them. If this fails, the remaining
//    steps must not be executed, and no further event may be handled until the
//    consensus state has been reloaded from disk.
// 3. Sends send_after_sync.
// 4. Replaces the state machine by `restore`, applies `committed` and answers
//    `outcomes`.
// 5. If `sync` was set, calls OnPersisted() and executes its Effects.
struct Effects {
  std::vector<Message> send_at_once;

  // Replaces the snapshot on disk. Log entries on disk up to its index may be
  // dropped; all entries are dropped if the log has no entry at its position.
  std::optional<Snapshot> install_snapshot;
  // Log entries from this index on are removed.
  std::optional<uint64_t> truncate_from;
  std::vector<LogEntry> append;
  std::optional<HardState> hard_state;
  // Set if any of the four members above is set.
  std::optional<SyncPoint> sync;

  std::vector<Message> send_after_sync;

  // Snapshot from which the state machine is restored.
  std::optional<Snapshot> restore;
  // Newly committed entries, in order and contiguous.
  std::vector<LogEntry> committed;
  std::vector<ProposalOutcome> outcomes;
  std::optional<LeadershipChange> leadership;
  std::vector<RefusedStorage> refused;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_EFFECTS_H_
