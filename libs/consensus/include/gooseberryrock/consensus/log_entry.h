// Entries of the replicated log and their positions.

#ifndef GOOSEBERRYROCK_CONSENSUS_LOG_ENTRY_H_
#define GOOSEBERRYROCK_CONSENSUS_LOG_ENTRY_H_

#include <compare>
#include <cstdint>
#include <string>

#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::consensus {

// Identifies a log entry. Two logs with an entry at the same position are
// identical up to that entry. Ordered by term first, as elections compare logs.
struct Position {
  uint64_t term = 0;
  // The first entry has index 1; index 0 is the position before it.
  uint64_t index = 0;

  auto operator<=>(const Position&) const = default;
};

enum class EntryKind {
  // Appended by a new leader to commit entries of earlier terms.
  kNoOp,
  kCommand,
  kMembership,
};

struct LogEntry {
  Position position;
  EntryKind kind = EntryKind::kNoOp;
  // Opaque to this library; only for kCommand.
  std::string payload;
  // Only for kMembership. Takes effect as soon as the entry is appended.
  Membership membership;

  auto operator<=>(const LogEntry&) const = default;
};

// State of the replicated state machine after the entry at `last`.
struct Snapshot {
  Position last;
  // The effective membership at `last`.
  Membership membership;
  // Opaque to this library.
  std::string data;

  auto operator<=>(const Snapshot&) const = default;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_LOG_ENTRY_H_
