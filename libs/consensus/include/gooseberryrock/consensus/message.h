// Messages between the VMs of the replicated log.

#ifndef GOOSEBERRYROCK_CONSENSUS_MESSAGE_H_
#define GOOSEBERRYROCK_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/hard_state.h"
#include "gooseberryrock/consensus/log_entry.h"

namespace gooseberryrock::consensus {

struct VoteRequest {
  // Only asks whether a vote would be given; changes no state at the receiver.
  bool pre_vote = false;
  // Sent on behalf of the leader, which has given up its lease. The receiver
  // votes although it has just heard from the leader.
  bool leadership_transfer = false;
  Position last;
  Acknowledgement acknowledged;
  // What the sender knows the receiver to have acknowledged. A VM whose disk
  // was rolled back learns of it from this before it votes.
  Acknowledgement known;

  auto operator<=>(const VoteRequest&) const = default;
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  // The term that the request asked for.
  uint64_t requested_term = 0;
  Acknowledgement acknowledged;
  // As in VoteRequest.
  Acknowledgement known;

  auto operator<=>(const VoteReply&) const = default;
};

// Also the heartbeat, without entries.
struct AppendRequest {
  Position previous;
  std::vector<LogEntry> entries;
  uint64_t commit_index = 0;
  // Numbers the requests of one leader, so that a reply confirms the lease from
  // the time when its request was sent.
  uint64_t round = 0;
  // What each member, by storage id, is known to have acknowledged. Lets each
  // VM recognise a member whose disk was rolled back, also itself. Sent when it
  // changes and at times again, else empty.
  std::map<std::string, Acknowledgement> acknowledged;

  auto operator<=>(const AppendRequest&) const = default;
};

struct AppendReply {
  bool accepted = false;
  // When accepted, the highest index known to match the leader's log. Else the
  // highest index at which the logs may match.
  uint64_t index = 0;
  uint64_t round = 0;

  auto operator<=>(const AppendReply&) const = default;
};

// One chunk of a snapshot.
struct SnapshotRequest {
  Position last;
  Membership membership;
  uint64_t offset = 0;
  uint64_t total_size = 0;
  std::string chunk;
  uint64_t round = 0;

  auto operator<=>(const SnapshotRequest&) const = default;
};

struct SnapshotReply {
  Position last;
  // Offset of the chunk wanted next; the total size when installed.
  uint64_t next_offset = 0;
  bool installed = false;
  uint64_t round = 0;

  auto operator<=>(const SnapshotReply&) const = default;
};

// Asks the receiver to start an election at once.
struct TimeoutNow {
  auto operator<=>(const TimeoutNow&) const = default;
};

using MessageBody = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotRequest,
                                 SnapshotReply,
                                 TimeoutNow>;

struct Message {
  NodeId from;
  NodeId to;
  // The sender's current term; for a pre-vote request, the term that the
  // candidate would start.
  uint64_t term = 0;
  std::string from_storage_id;
  // The storage id that the sender knows of the receiver; empty if none. A VM
  // with another storage id answers but takes no part.
  std::string to_storage_id;
  // The sender knows that its disk was rolled back.
  bool from_suspended = false;
  MessageBody body;

  auto operator<=>(const Message&) const = default;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_MESSAGE_H_
