// Synchronizes the directories of the nodes.
//
// A delta carries the records that changed since the previous delta to the same
// peer, and the range of change counts that it covers. A peer that detects a
// gap (a delta or a heartbeat is ahead of the count that it has received)
// requests the changes after that count again. Digests repair remaining
// differences: root hash, group hashes, leaf hashes of differing groups, then
// the records of differing leaves.

#ifndef GOOSEBERRYROCK_DIRECTORY_DIRECTORY_EXCHANGE_H_
#define GOOSEBERRYROCK_DIRECTORY_DIRECTORY_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

inline constexpr Duration kDeltaInterval = std::chrono::milliseconds(200);
inline constexpr Duration kDigestInterval = std::chrono::seconds(2);
// Number of peers that get a digest in each interval, in rotation.
inline constexpr size_t kDigestPeers = 2;
// Estimated size above which a delta is split, well below the 4 MiB limit of a
// frame.
inline constexpr size_t kMaxDeltaBytes = size_t{1} << 20;
// Maximum number of groups whose leaf hashes are sent in one message. Others
// follow in later rounds.
inline constexpr size_t kMaxDigestGroups = 16;
// Up to this number of nodes, each node exchanges with all others.
inline constexpr size_t kFullMeshNodes = 16;

// Covers the changes after `from` up to and including `to`. Both are zero if
// the records answer a pull.
struct DirectoryDelta {
  uint64_t from = 0;
  uint64_t to = 0;
  std::vector<ServerRecord> records;
  // Number of received records that could not be read and are left out.
  size_t malformed_records = 0;
};

// The first digest contains only the root; each answer adds one level.
struct DirectoryDigest {
  uint64_t root = 0;
  // Empty, or kDigestGroups values.
  std::vector<uint64_t> groups;
  // kLeavesPerGroup values by group number.
  std::map<uint32_t, std::vector<uint64_t>> leaves;

  bool operator==(const DirectoryDigest&) const = default;
};

// Requests the records of digest leaves, or the changes after a change count.
struct DirectoryPull {
  // If set, the receiver sends its changes after this count again.
  std::optional<uint64_t> since;
  std::set<uint32_t> leaves;
  // Hashes of the sender's records in `leaves`, without gone servers.
  std::map<BackendServerId, uint64_t> known;
  // Set in the answer to a pull; prevents a further pull in return.
  bool reply = false;

  bool operator==(const DirectoryPull&) const = default;
};

// State of the exchange with one peer.
struct PeerProgress {
  // Changes up to this count have been sent to the peer or skipped.
  uint64_t considered = 0;
  // `to` of the last delta to the peer.
  uint64_t sent = 0;
  // Incarnation of the peer, and the change count up to which its deltas have
  // been received without a gap.
  uint64_t peer_incarnation = 0;
  uint64_t received = 0;
};

struct DirectoryExchange {
  std::map<NodeId, PeerProgress> peers;
  // Position in the rotation of digests.
  uint64_t digest_round = 0;
};

// A peer with which a node exchanges deltas, heartbeats and digests.
struct ExchangePeer {
  NodeId node;
  // Whether changes learned from other nodes are relayed to the peer. Changes
  // of ownership are always relayed to the previous owner.
  bool relay = true;

  auto operator<=>(const ExchangePeer&) const = default;
};

// Returns the next changes for `peer`, without those that it sent itself.
// Several changes of a record are combined into one. A delta is limited to
// about kMaxDeltaBytes; call repeatedly until it returns nothing.
std::optional<DirectoryDelta> TakeDelta(const Directory& directory,
                                        DirectoryExchange& exchange,
                                        const ExchangePeer& peer);

// Returns the change count to send in a heartbeat to `peer`.
uint64_t SentCount(const DirectoryExchange& exchange, const NodeId& peer);

// Handles the range of change counts of a delta, or of a heartbeat with `from`
// equal to `to`. Returns a pull to send if a change was lost.
std::optional<DirectoryPull> OnChangeSpan(DirectoryExchange& exchange,
                                          const NodeId& peer,
                                          uint64_t peer_incarnation,
                                          uint64_t from,
                                          uint64_t to);

// Handles the loss of a peer. All changes are sent again when it returns,
// because earlier deltas may not have arrived.
void OnPeerLost(DirectoryExchange& exchange, const NodeId& peer);

DirectoryDigest MakeRootDigest(const Directory& directory);

struct DigestAnswer {
  std::optional<DirectoryDigest> digest;
  std::optional<DirectoryPull> pull;
};

// Returns the next step of the comparison; empty if the directories are equal.
// Levels of a wrong size are ignored.
DigestAnswer OnDigest(const Directory& directory,
                      const DirectoryDigest& digest);

struct PullAnswer {
  std::vector<DirectoryDelta> deltas;
  std::optional<DirectoryPull> pull;
};

PullAnswer OnPull(const Directory& directory,
                  DirectoryExchange& exchange,
                  const NodeId& peer,
                  const DirectoryPull& pull);

// Merges the records of a delta. Returns those that changed the directory.
std::vector<ServerRecord> MergeDelta(Directory& directory,
                                     const DirectoryDelta& delta,
                                     const NodeId& from,
                                     SteadyTime now);

// Returns the peers with which `self` exchanges deltas, heartbeats and digests.
//
// Up to kFullMeshNodes nodes, these are all other nodes. Each change is relayed
// to two of them, at distances of 1 and of half the nodes on the ring of sorted
// ids. A node that is partitioned from the owner of a record thus gets it from
// two others, whereas relaying to all peers would send each change to each node
// once from every other node.
//
// With more nodes, the peers are those at distances of 1, 4, 16, ... in both
// directions of the ring, and all changes are relayed to all of them. A change
// then crosses a ring of 2,300 nodes in at most ten hops with twelve peers per
// node.
//
// The relation is symmetric except for `relay`.
std::vector<ExchangePeer> ExchangePeers(const std::set<NodeId>& nodes,
                                        const NodeId& self);

// Returns the positions of the peers, out of `peer_count`, that get a digest in
// this round.
std::vector<size_t> TakeDigestPeers(DirectoryExchange& exchange,
                                    size_t peer_count);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_DIRECTORY_EXCHANGE_H_
