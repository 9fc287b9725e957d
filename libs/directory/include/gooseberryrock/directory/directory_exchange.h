// How nodes keep their directories equal.
//
// Deltas carry the records that changed since the previous delta to the same
// peer, and the span of change counts that they cover. A peer that sees a gap
// (a delta or a heartbeat is ahead of what it has) asks to go back to the count
// that it has. Digests repair what this misses: root hash, group hashes, leaf
// hashes of the groups that differ, then the records of the leaves that differ.

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
// Peers that get a digest in each interval, in turn.
inline constexpr size_t kDigestPeers = 2;
// Estimated size at which a delta ends, well below the 4 MiB of a frame. The
// rest follows in further deltas.
inline constexpr size_t kMaxDeltaBytes = size_t{1} << 20;
// Groups whose leaf hashes are sent at once; the rest follows in later rounds.
inline constexpr size_t kMaxDigestGroups = 16;
// Up to this many nodes each exchanges with all others.
inline constexpr size_t kFullMeshNodes = 16;

// Covers the changes after `from` up to `to`. Both are zero when the records
// answer a pull.
struct DirectoryDelta {
  uint64_t from = 0;
  uint64_t to = 0;
  std::vector<ServerRecord> records;
};

// A first digest has only the root; the answers add one level each.
struct DirectoryDigest {
  uint64_t root = 0;
  // Empty, or kDigestGroups values.
  std::vector<uint64_t> groups;
  // Group number -> kLeavesPerGroup values.
  std::map<uint32_t, std::vector<uint64_t>> leaves;

  bool operator==(const DirectoryDigest&) const = default;
};

// Asks for the records of digest leaves, or to go back to a change count.
struct DirectoryPull {
  // Set: the receiver sends its changes after this count again.
  std::optional<uint64_t> since;
  std::set<uint32_t> leaves;
  // Hashes of the sender's records in `leaves` that have not gone.
  std::map<BackendServerId, uint64_t> known;
  // Answers a pull and is not answered by another one.
  bool reply = false;

  bool operator==(const DirectoryPull&) const = default;
};

// What this node has exchanged with one peer.
struct PeerProgress {
  // Changes up to this count were considered for the peer.
  uint64_t considered = 0;
  // `to` of the last delta to the peer.
  uint64_t sent = 0;
  // Incarnation of the peer, and the change count up to which its deltas
  // arrived without a gap.
  uint64_t peer_incarnation = 0;
  uint64_t received = 0;
};

struct DirectoryExchange {
  std::map<NodeId, PeerProgress> peers;
  // Position in the rotation of digests.
  uint64_t digest_round = 0;
};

// A node with which another one exchanges deltas, heartbeats and digests.
struct ExchangePeer {
  NodeId node;
  // Whether the peer also gets the changes learned from other nodes. Changes of
  // ownership are relayed to the previous owner in any case.
  bool relay = true;

  auto operator<=>(const ExchangePeer&) const = default;
};

// The changes that `peer` has not got yet, without those that it sent itself.
// Several changes of a record are sent as one. Nothing when there are none;
// call again until then, since one delta holds at most kMaxDeltaBytes.
std::optional<DirectoryDelta> TakeDelta(const Directory& directory,
                                        DirectoryExchange& exchange,
                                        const ExchangePeer& peer);

// The change count for a heartbeat to `peer`.
uint64_t SentCount(const DirectoryExchange& exchange, const NodeId& peer);

// What to do with the span of a delta, or of a heartbeat with `from` equal to
// `to`. A pull to send when something was lost.
std::optional<DirectoryPull> OnChangeSpan(DirectoryExchange& exchange,
                                          const NodeId& peer,
                                          uint64_t peer_incarnation,
                                          uint64_t from,
                                          uint64_t to);

// A peer was lost: what was sent to it may not have arrived.
void ForgetPeer(DirectoryExchange& exchange, const NodeId& peer);

DirectoryDigest MakeRootDigest(const Directory& directory);

struct DigestAnswer {
  std::optional<DirectoryDigest> digest;
  std::optional<DirectoryPull> pull;
};

// The next step of the comparison; empty when the directories are equal.
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

// The nodes with which `self` exchanges deltas, heartbeats and digests.
//
// Up to kFullMeshNodes these are all others, and each change is relayed to two
// of them, at distances of 1 and half the nodes on the ring of sorted ids: a
// node that is cut off from the owner of a record gets it from two others, and
// relaying to all would send each change to each node once from each other.
//
// Above, they are the nodes at distances of 1, 4, 16, ... in both directions of
// the ring, and all get everything, so that a change crosses a ring of 2,300
// nodes in at most ten steps while each node has twelve neighbours.
//
// Symmetric but for `relay`.
std::vector<ExchangePeer> ExchangePeers(const std::set<NodeId>& nodes,
                                        const NodeId& self);

// Which of `peer_count` peers get a digest in this round, by position.
std::vector<size_t> TakeDigestPeers(DirectoryExchange& exchange,
                                    size_t peer_count);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_DIRECTORY_EXCHANGE_H_
