// Consensus messages between VMs.

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
  // Only asks whether a vote would be granted; does not change the receiver.
  bool pre_vote = false;
  // Part of a leadership transfer: the leader has given up its lease, so the
  // receiver may vote despite recent contact with the leader.
  bool leadership_transfer = false;
  Position last;
  Acknowledgement acknowledged;
  // The receiver's highest acknowledgement known to the sender. Lets a VM
  // detect a rollback of its own disk before it votes.
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
  // Sequence number of the leader's requests. A reply extends the lease from
  // the time its request was sent.
  uint64_t round = 0;
  // Highest known acknowledgement of each member, by storage id. Lets each VM
  // detect a disk rollback of any member, including itself. Sent on change and
  // periodically; otherwise empty.
  std::map<std::string, Acknowledgement> acknowledged;

  auto operator<=>(const AppendRequest&) const = default;
};

struct AppendReply {
  bool accepted = false;
  // If accepted, the highest index known to match the leader's log. Otherwise
  // the highest index at which the logs may match.
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
  // Offset of the next expected chunk; the total size when installed.
  uint64_t next_offset = 0;
  bool installed = false;
  uint64_t round = 0;

  auto operator<=>(const SnapshotReply&) const = default;
};

// Tells the receiver to start an election immediately.
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
  // The sender's current term; for a pre-vote request, the term in which the
  // candidate would run.
  uint64_t term = 0;
  std::string from_storage_id;
  // The receiver's storage id as known to the sender; empty if unknown. A VM
  // with another storage id ignores vote requests and rejects leader requests
  // with a reply that reports its own storage id. Not checked in replies.
  std::string to_storage_id;
  // The sender has detected that its disk was rolled back.
  bool from_suspended = false;
  MessageBody body;

  auto operator<=>(const Message&) const = default;
};

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_MESSAGE_H_
