// Access to the log of a ConsensusState.

#ifndef GOOSEBERRYROCK_CONSENSUS_LOG_H_
#define GOOSEBERRYROCK_CONSENSUS_LOG_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"

namespace gooseberryrock::consensus {

uint64_t LastIndex(const ConsensusState& state);

// The term of the entry at `index`; nothing when the log does not reach there.
std::optional<uint64_t> TermAt(const ConsensusState& state, uint64_t index);

// The entry at `index`, which must be in the log.
const LogEntry& EntryAt(const ConsensusState& state, uint64_t index);

// Appends `entry` and puts its membership in force.
void AppendEntry(ConsensusState& state, LogEntry entry, Effects& effects);

// Removes the entries from `index` on; the membership in force goes back to
// the latest one that is left.
void TruncateFrom(ConsensusState& state, uint64_t index, Effects& effects);

// The membership in force after the entry at `index`, which must not lie
// before the snapshot.
Membership MembershipAt(const ConsensusState& state, uint64_t index);

// Makes `snapshot` the start of the log, keeping up to `retained` entries
// before it, or no entry at all when the log does not hold its position.
void CompactLog(ConsensusState& state, Snapshot snapshot, uint64_t retained);

// Commits up to `index`: hands the entries out and settles their proposals.
void CommitTo(ConsensusState& state, uint64_t index, Effects& effects);

// Notes that this VM has acknowledged `index` in the current term.
void Acknowledge(ConsensusState& state, uint64_t index, Effects& effects);

// Notes what the VM with `storage_id` has acknowledged.
void LearnAcknowledged(ConsensusState& state,
                       const std::string& storage_id,
                       const Acknowledgement& acknowledged);

// What the VM with `storage_id` is known to have acknowledged.
Acknowledgement KnownAcknowledged(const ConsensusState& state,
                                  const std::string& storage_id);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_LOG_H_
