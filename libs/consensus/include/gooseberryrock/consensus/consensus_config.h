// Configuration of the consensus protocol.

#ifndef GOOSEBERRYROCK_CONSENSUS_CONSENSUS_CONFIG_H_
#define GOOSEBERRYROCK_CONSENSUS_CONSENSUS_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::consensus {

struct ConsensusConfig {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  // Maximum relative difference in rate between the steady clocks of two VMs.
  // The leader's lease is shorter than election_timeout_min by this fraction.
  double clock_drift = 0.10;
  // Time after which an unanswered append or snapshot chunk is resent. Must
  // exceed the round-trip time between the VMs.
  Duration resend_interval = std::chrono::milliseconds(300);
  // Interval at which unchanged known acknowledgements are resent, in case the
  // message that carried them was lost.
  Duration acknowledged_interval = std::chrono::seconds(1);
  // Limits for one append request; they keep the frame below 4 MiB.
  size_t max_append_entries = 512;
  size_t max_append_bytes = size_t{1} << 20U;
  // Larger payloads are rejected.
  size_t max_payload_bytes = size_t{1} << 20U;
  // Maximum number of unanswered appends with entries per follower.
  size_t max_in_flight = 8;
  size_t max_snapshot_chunk_bytes = size_t{1} << 20U;
  // Number of entries between two snapshots.
  uint64_t snapshot_interval = 1000;
  // Number of entries before a snapshot that are kept for followers that lag
  // slightly behind.
  uint64_t retained_entries = 200;
  // Maximum number of missing entries with which a learner may be promoted.
  uint64_t max_promotion_lag = 100;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_CONFIG_H_
