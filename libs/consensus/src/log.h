// Operations on the log of a ConsensusState.

#ifndef GOOSEBERRYROCK_CONSENSUS_LOG_H_
#define GOOSEBERRYROCK_CONSENSUS_LOG_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gooseberryrock/consensus/consensus_state.h"
#include "gooseberryrock/consensus/effects.h"

namespace gooseberryrock::consensus {

uint64_t LastIndex(const ConsensusState& state);

// Returns the term of the entry at `index`, or nullopt if the log does not
// contain that index.
std::optional<uint64_t> TermAt(const ConsensusState& state, uint64_t index);

// Returns the entry at `index`, which must be in the log.
const LogEntry& EntryAt(const ConsensusState& state, uint64_t index);

// Appends `entry`; a membership entry takes effect immediately.
void AppendEntry(ConsensusState& state, LogEntry entry, Effects& effects);

// Removes the entries from `index` on and reverts to the latest remaining
// membership.
void TruncateFrom(ConsensusState& state, uint64_t index, Effects& effects);

// Returns the effective membership after the entry at `index`, which must not
// precede the snapshot.
Membership MembershipAt(const ConsensusState& state, uint64_t index);

// Replaces the snapshot and drops the entries before it except the last
// `retained`. Drops all entries if the log has none at the position of
// `snapshot`.
void CompactLog(ConsensusState& state, Snapshot snapshot, uint64_t retained);

// Commits entries up to `index`: adds them and the outcomes of their proposals
// to `effects`.
void CommitTo(ConsensusState& state, uint64_t index, Effects& effects);

// Records that this VM acknowledges `index` in the current term.
void Acknowledge(ConsensusState& state, uint64_t index, Effects& effects);

// Records an acknowledgement of the VM with `storage_id`.
void RecordAcknowledged(ConsensusState& state,
                        const std::string& storage_id,
                        const Acknowledgement& acknowledged);

// Returns the highest known acknowledgement of the VM with `storage_id`.
Acknowledgement KnownAcknowledged(const ConsensusState& state,
                                  const std::string& storage_id);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_LOG_H_
