// What a VM must have synced before others may learn of it.

#ifndef GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_
#define GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_

#include <compare>
#include <cstdint>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::consensus {

// The highest index that a VM has acknowledged to the leader of `term`. On an
// intact disk it never decreases in this order, although the log itself may be
// truncated by a later leader.
struct Acknowledgement {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const Acknowledgement&) const = default;
};

struct HardState {
  uint64_t term = 0;
  // Empty when no vote was given in `term`.
  NodeId voted_for;
  Acknowledgement acknowledged;
  // Entries up to here are committed. Written along with other changes, so that
  // it may lag; a VM that restarts applies them without waiting for a leader.
  uint64_t commit_index = 0;
  // The VM learned that its disk was rolled back. It neither votes nor counts
  // until an operator replaces it.
  bool suspended = false;

  auto operator<=>(const HardState&) const = default;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_
