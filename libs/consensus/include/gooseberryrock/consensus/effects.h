// What the runtime has to do after an event of the replicated log.

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

// Names what a sync covers; passed back to OnPersisted().
struct SyncPoint {
  uint64_t term = 0;
  Position last;
};

enum class ProposalStatus {
  // Committed; the entry is in Effects::committed of the same effects.
  kCommitted,
  // Will never be committed.
  kNotRun,
  // May or may not have been committed: a snapshot covers its index.
  kUnknown,
};

enum class RejectReason {
  kNone,
  kNotLeader,
  kTransferringLeadership,
  kPayloadTooLarge,
  // Another entry was committed at the index of the proposal.
  kReplaced,
  // Membership changes: one is already under way, or the leader has committed
  // no entry of its term yet.
  kChangeInProgress,
  kUnknownMember,
  kAlreadyMember,
  // The learner lacks too many entries or does not answer.
  kNotCaughtUp,
  // The last voter cannot be removed.
  kLastVoter,
};

struct ProposalOutcome {
  ProposalId id = 0;
  ProposalStatus status = ProposalStatus::kNotRun;
  RejectReason reason = RejectReason::kNone;
  // Position of the entry when committed.
  Position position;
};

struct LeadershipChange {
  Role role = Role::kFollower;
  uint64_t term = 0;
  // Empty when unknown.
  NodeId leader;
};

// A VM that is not counted because of its disk.
struct RefusedStorage {
  NodeId node;
  std::string storage_id;
  // True when its disk was rolled back, false when the storage id differs from
  // the one in the membership.
  bool rolled_back = false;
};

// The runtime carries out one Effects after the other, each in this order:
// 1. sends send_at_once; 2. when `sync` is set, writes install_snapshot, then
// truncate_from, append and hard_state, and syncs them; a failed sync ends the
// process; 3. sends send_after_sync; 4. replaces its state machine by
// `restore`, applies `committed`, answers `outcomes`; 5. when `sync` was set,
// calls OnPersisted() and carries out the effects of that call.
struct Effects {
  std::vector<Message> send_at_once;

  // Becomes the snapshot on disk. Entries of the log on disk up to its index
  // may be dropped; when the log has no entry at its position, all are.
  std::optional<Snapshot> install_snapshot;
  // Entries from this index on are removed from the log.
  std::optional<uint64_t> truncate_from;
  std::vector<LogEntry> append;
  std::optional<HardState> hard_state;
  // Set when one of the four members above is.
  std::optional<SyncPoint> sync;

  std::vector<Message> send_after_sync;

  // The state machine starts again from this snapshot.
  std::optional<Snapshot> restore;
  // Newly committed entries, in order, without gaps.
  std::vector<LogEntry> committed;
  std::vector<ProposalOutcome> outcomes;
  std::optional<LeadershipChange> leadership;
  std::vector<RefusedStorage> refused;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_EFFECTS_H_
