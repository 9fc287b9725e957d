// The state of one VM of the replicated log.

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

// Chosen by the runtime; unique among its open proposals.
using ProposalId = uint64_t;

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct InFlight {
  uint64_t round = 0;
  SteadyTime sent_at;
  // Zero for a heartbeat.
  uint64_t last_index = 0;
};

// What a leader knows of one other member.
struct Progress {
  uint64_t match = 0;
  uint64_t next = 1;
  // Until the first accepted append only one append at a time is sent.
  bool probing = true;
  std::deque<InFlight> in_flight;
  // When the latest confirmed request was sent.
  std::optional<SteadyTime> confirmed;
  SteadyTime last_sent;
  // Set while a snapshot is being sent: the offset of the next chunk.
  std::optional<uint64_t> snapshot_offset;
  Position snapshot_last;
  // Nothing was heard since the last resend: only empty appends are sent, so
  // that a VM that is down costs little.
  bool silent = false;
  // When the known acknowledgements were last sent, and their version then.
  SteadyTime acknowledged_sent_at;
  uint64_t acknowledged_version = 0;
  // The VM has another storage id than the membership. It is not counted.
  bool wrong_storage = false;
  // The VM's disk was rolled back. It is not counted.
  bool rolled_back = false;
};

struct PendingProposal {
  ProposalId id = 0;
  uint64_t term = 0;
};

// A snapshot whose chunks are arriving.
struct IncomingSnapshot {
  Snapshot snapshot;
  uint64_t total_size = 0;
};

struct ConsensusState {
  NodeId self;
  std::string storage_id;
  ConsensusConfig config;

  HardState hard_state;
  // entries.front() follows log_start, which may lie before the snapshot.
  Position log_start;
  std::deque<LogEntry> entries;
  // The latest snapshot, sent to members that lack older entries.
  Snapshot snapshot;
  // The membership of the latest membership entry of the log, committed or not.
  Membership membership;
  uint64_t membership_index = 0;
  // Entries up to here are synced on this VM.
  uint64_t synced_index = 0;
  uint64_t commit_index = 0;

  Role role = Role::kFollower;
  // Empty when unknown.
  NodeId leader;
  // The follower starts an election then.
  SteadyTime election_deadline;
  // After a start, votes are refused before this time.
  SteadyTime votes_refused_until;
  // Last time a message of the current leader arrived.
  std::optional<SteadyTime> leader_heard;
  std::optional<IncomingSnapshot> incoming;

  // Candidates: who granted the vote of this election, with its storage id.
  std::map<NodeId, std::string> votes;

  // Leaders.
  std::map<NodeId, Progress> progress;
  uint64_t next_round = 1;
  SteadyTime became_leader;
  SteadyTime last_tick;
  // A transfer of leadership is under way: no proposals are accepted, and the
  // lease is given up for the rest of the term.
  bool transferring = false;
  bool timeout_now_sent = false;
  SteadyTime transfer_deadline;
  std::map<uint64_t, PendingProposal> pending;

  // What the VMs, by storage id, are known to have acknowledged. The version
  // rises with each change.
  std::map<std::string, Acknowledgement> known_acknowledged;
  uint64_t known_acknowledged_version = 1;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_CONSENSUS_STATE_H_
