// Parameters of the replicated log.

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
  // By how much the steady clocks of two VMs may differ in rate. The leader's
  // lease is shorter than election_timeout_min by this share.
  double clock_drift = 0.10;
  // An append or chunk without a reply is sent again after this time. Must
  // exceed the round trip between the VMs.
  Duration resend_interval = std::chrono::milliseconds(300);
  // Known acknowledgements are sent again after this time without a change, in
  // case the message that carried them was lost.
  Duration acknowledged_interval = std::chrono::seconds(1);
  // Bounds on one append, so that the frame stays below 4 MiB.
  size_t max_append_entries = 512;
  size_t max_append_bytes = size_t{1} << 20U;
  // Payloads above this size are rejected.
  size_t max_payload_bytes = size_t{1} << 20U;
  // Unanswered appends with entries for each follower.
  size_t max_in_flight = 8;
  size_t max_snapshot_chunk_bytes = size_t{1} << 20U;
  // Entries between two snapshots.
  uint64_t snapshot_interval = 1000;
  // Entries kept behind a snapshot for followers that lag a little.
  uint64_t retained_entries = 200;
  // A learner may be promoted when it lacks at most this many entries.
  uint64_t max_promotion_lag = 100;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_CONFIG_H_
