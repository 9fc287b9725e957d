// Consensus state of one VM.

#ifndef GOOSEBERRYROCK_CONSENSUS_CONSENSUS_STATE_H_
#define GOOSEBERRYROCK_CONSENSUS_CONSENSUS_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus_config.h"
#include "gooseberryrock/consensus/hard_state.h"
#include "gooseberryrock/consensus/log_entry.h"

namespace gooseberryrock::consensus {

// Chosen by the runtime; unique among its pending proposals.
using ProposalId = uint64_t;

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct InFlight {
  uint64_t round = 0;
  SteadyTime sent_at;
  // Zero for a heartbeat.
  uint64_t last_index = 0;
};

// A leader's replication state for one other member.
struct Progress {
  uint64_t match = 0;
  uint64_t next = 1;
  // Until the first accepted append, only one append is in flight at a time.
  bool probing = true;
  std::deque<InFlight> in_flight;
  // Send time of the latest request that was confirmed by a reply.
  std::optional<SteadyTime> confirmed;
  SteadyTime last_sent;
  // Offset of the next chunk while a snapshot is being sent.
  std::optional<uint64_t> snapshot_offset;
  Position snapshot_last;
  // No reply arrived since the last resend. Only empty appends are sent, to
  // limit the cost of a member that is down.
  bool unresponsive = false;
  // Time and version of the last known acknowledgements that were sent.
  SteadyTime acknowledged_sent_at;
  uint64_t acknowledged_version = 0;
  // The VM's storage id differs from the membership. The VM is excluded from
  // quorums.
  bool wrong_storage = false;
  // The VM's disk was rolled back. The VM is excluded from quorums.
  bool rolled_back = false;
};

struct PendingProposal {
  ProposalId id = 0;
  uint64_t term = 0;
};

// A partially received snapshot.
struct IncomingSnapshot {
  Snapshot snapshot;
  uint64_t total_size = 0;
};

struct ConsensusState {
  NodeId self;
  std::string storage_id;
  ConsensusConfig config;

  HardState hard_state;
  // Position directly before entries.front(); may precede the snapshot.
  Position log_start;
  std::deque<LogEntry> entries;
  // The latest snapshot; sent to members that lack entries already compacted.
  Snapshot snapshot;
  // Membership of the latest membership entry in the log, committed or not.
  Membership membership;
  uint64_t membership_index = 0;
  // Index of the last entry synced to disk on this VM.
  uint64_t synced_index = 0;
  uint64_t commit_index = 0;

  Role role = Role::kFollower;
  // Empty when unknown.
  NodeId leader;
  // Time at which a follower starts an election.
  SteadyTime election_deadline;
  // Votes are refused until this time after a start.
  SteadyTime votes_refused_until;
  // Arrival time of the last message from the current leader.
  std::optional<SteadyTime> leader_contact_at;
  std::optional<IncomingSnapshot> incoming;

  // Candidates: VMs that granted their vote in this election, with their
  // storage ids.
  std::map<NodeId, std::string> votes;

  // Leaders.
  std::map<NodeId, Progress> progress;
  uint64_t next_round = 1;
  SteadyTime became_leader;
  SteadyTime last_tick;
  // A leadership transfer is in progress: no proposals are accepted, and the
  // lease is not used for the rest of the term.
  bool transferring = false;
  bool timeout_now_sent = false;
  SteadyTime transfer_deadline;
  std::map<uint64_t, PendingProposal> pending;

  // Highest known acknowledgement of each VM, by storage id. The version
  // increases with each change.
  std::map<std::string, Acknowledgement> known_acknowledged;
  uint64_t known_acknowledged_version = 1;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_STATE_H_
