// State that a VM must sync to disk before it sends messages that depend on it.

#ifndef GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_
#define GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_

#include <compare>
#include <cstdint>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::consensus {

// The highest index that a VM has acknowledged to the leader of `term`. On an
// intact disk it never decreases, ordered by term and then index, although a
// later leader may truncate the log.
struct Acknowledgement {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const Acknowledgement&) const = default;
};

struct HardState {
  uint64_t term = 0;
  // Empty if no vote was granted in `term`.
  NodeId voted_for;
  Acknowledgement acknowledged;
  // Index of the last entry known to be committed. Written only together with
  // other changes, so it may lag. After a restart, a VM applies entries up to
  // this index without waiting for a leader.
  uint64_t commit_index = 0;
  // The VM has detected that its disk was rolled back. It neither votes nor
  // counts towards quorums until an operator replaces it.
  bool suspended = false;

  auto operator<=>(const HardState&) const = default;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_HARD_STATE_H_
