// Synchronizes the directories of the nodes with deltas, digests and pulls.

#include "gooseberryrock/directory/directory_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::directory {

namespace {

uint64_t GroupHash(const Directory& directory, size_t group) {
  uint64_t sum = 0;
  for (size_t n = 0; n < kLeavesPerGroup; ++n) {
    sum += directory.leaf_hashes[group * kLeavesPerGroup + n];
  }
  return sum;
}

std::vector<uint64_t> GroupHashes(const Directory& directory) {
  std::vector<uint64_t> hashes(kDigestGroups);
  for (size_t group = 0; group < kDigestGroups; ++group) {
    hashes[group] = GroupHash(directory, group);
  }
  return hashes;
}

std::vector<uint64_t> LeafHashes(const Directory& directory, size_t group) {
  const auto* first = directory.leaf_hashes.begin() + group * kLeavesPerGroup;
  return {first, first + kLeavesPerGroup};
}

std::set<uint32_t> DifferingLeaves(const Directory& directory,
                                   const DirectoryDigest& digest) {
  std::set<uint32_t> leaves;
  for (const auto& [group, hashes] : digest.leaves) {
    if (group >= kDigestGroups || hashes.size() != kLeavesPerGroup) {
      continue;
    }
    for (size_t n = 0; n < kLeavesPerGroup; ++n) {
      const size_t leaf = group * kLeavesPerGroup + n;
      if (directory.leaf_hashes[leaf] != hashes[n]) {
        leaves.insert(static_cast<uint32_t>(leaf));
      }
    }
  }
  return leaves;
}

DirectoryPull MakePull(const Directory& directory, std::set<uint32_t> leaves) {
  DirectoryPull pull;
  for (uint32_t leaf : leaves) {
    auto it = directory.by_leaf.find(leaf);
    if (it == directory.by_leaf.end()) {
      continue;
    }
    for (const BackendServerId& id : it->second) {
      const DirectoryEntry& entry = directory.entries.at(id);
      if (entry.record.state != ServerState::kGone) {
        pull.known[id] = entry.hash;
      }
    }
  }
  pull.leaves = std::move(leaves);
  return pull;
}

// Returns whether the sender of `pull` may lack this record. A gone server is
// sent only to a peer that lists it as present; otherwise nodes would keep
// restoring removed records at each other.
bool IsWanted(const DirectoryEntry& entry, const DirectoryPull& pull) {
  auto it = pull.known.find(entry.record.id);
  if (it == pull.known.end()) {
    return entry.record.state != ServerState::kGone;
  }
  return it->second != entry.hash;
}

// Returns an upper bound of the encoded size of `record`.
size_t EstimatedSize(const ServerRecord& record) {
  constexpr size_t kFixedSize = 128;
  constexpr size_t kNumberSize = 11;
  size_t size = kFixedSize + record.id.value.size() +
                record.service.value.size() +
                record.failure_domain.value.size() + record.host.size() +
                record.owner.value.size();
  for (const auto& [key, value] : record.labels) {
    size += key.size() + value.size() + kNumberSize;
  }
  for (const ShardReplica& replica : record.replicas) {
    size += replica.shard.value.size() +
            kNumberSize * (3 + replica.index_versions.size());
  }
  return size;
}

}  // namespace

std::optional<DirectoryDelta> TakeDelta(const Directory& directory,
                                        DirectoryExchange& exchange,
                                        const ExchangePeer& peer) {
  PeerProgress& progress = exchange.peers[peer.node];
  DirectoryDelta delta;
  delta.from = progress.sent;
  size_t size = 0;
  auto it = directory.changes.upper_bound(progress.considered);
  for (; it != directory.changes.end() && size < kMaxDeltaBytes; ++it) {
    progress.considered = it->first;
    const DirectoryEntry& entry = directory.entries.at(it->second);
    const bool is_own = entry.learned_from.empty();
    const bool relay = peer.relay || entry.previous_owner == peer.node;
    if (is_own || (relay && entry.learned_from != peer.node)) {
      size += EstimatedSize(entry.record);
      delta.records.push_back(entry.record);
    }
  }
  if (delta.records.empty()) {
    return std::nullopt;
  }
  delta.to = progress.considered;
  progress.sent = delta.to;
  return delta;
}

uint64_t SentCount(const DirectoryExchange& exchange, const NodeId& peer) {
  auto it = exchange.peers.find(peer);
  return it == exchange.peers.end() ? 0 : it->second.sent;
}

std::optional<DirectoryPull> OnChangeSpan(DirectoryExchange& exchange,
                                          const NodeId& peer,
                                          uint64_t peer_incarnation,
                                          uint64_t from,
                                          uint64_t to) {
  PeerProgress& progress = exchange.peers[peer];
  if (peer_incarnation < progress.peer_incarnation) {
    return std::nullopt;
  }
  if (peer_incarnation > progress.peer_incarnation) {
    // The peer has restarted: its counts start over, and it has lost all
    // records.
    progress = {};
    progress.peer_incarnation = peer_incarnation;
  }
  if (from > progress.received) {
    DirectoryPull pull;
    pull.since = progress.received;
    return pull;
  }
  progress.received = std::max(progress.received, to);
  return std::nullopt;
}

void OnPeerLost(DirectoryExchange& exchange, const NodeId& peer) {
  auto it = exchange.peers.find(peer);
  if (it != exchange.peers.end()) {
    it->second.considered = 0;
  }
}

DirectoryDigest MakeRootDigest(const Directory& directory) {
  DirectoryDigest digest;
  for (uint64_t hash : directory.leaf_hashes) {
    digest.root += hash;
  }
  return digest;
}

DigestAnswer OnDigest(const Directory& directory,
                      const DirectoryDigest& digest) {
  DigestAnswer answer;
  if (!digest.leaves.empty()) {
    auto leaves = DifferingLeaves(directory, digest);
    if (!leaves.empty()) {
      answer.pull = MakePull(directory, std::move(leaves));
    }
    return answer;
  }
  DirectoryDigest own = MakeRootDigest(directory);
  if (own.root == digest.root) {
    return answer;
  }
  const auto groups = GroupHashes(directory);
  if (digest.groups.size() != kDigestGroups) {
    own.groups = groups;
    answer.digest = std::move(own);
    return answer;
  }
  for (size_t n = 0; n < kDigestGroups && own.leaves.size() < kMaxDigestGroups;
       ++n) {
    if (groups[n] != digest.groups[n]) {
      own.leaves[static_cast<uint32_t>(n)] = LeafHashes(directory, n);
    }
  }
  if (!own.leaves.empty()) {
    answer.digest = std::move(own);
  }
  return answer;
}

PullAnswer OnPull(const Directory& directory,
                  DirectoryExchange& exchange,
                  const NodeId& peer,
                  const DirectoryPull& pull) {
  PullAnswer answer;
  if (pull.since) {
    PeerProgress& progress = exchange.peers[peer];
    progress.considered = std::min(progress.considered, *pull.since);
    progress.sent = std::min(progress.sent, *pull.since);
  }
  size_t size = kMaxDeltaBytes;
  for (uint32_t leaf : pull.leaves) {
    auto it = directory.by_leaf.find(leaf);
    if (it == directory.by_leaf.end()) {
      continue;
    }
    for (const BackendServerId& id : it->second) {
      const DirectoryEntry& entry = directory.entries.at(id);
      if (!IsWanted(entry, pull)) {
        continue;
      }
      if (size >= kMaxDeltaBytes) {
        answer.deltas.emplace_back();
        size = 0;
      }
      size += EstimatedSize(entry.record);
      answer.deltas.back().records.push_back(entry.record);
    }
  }
  if (!pull.leaves.empty() && !pull.reply) {
    DirectoryPull own = MakePull(directory, pull.leaves);
    if (own.known != pull.known) {
      own.reply = true;
      answer.pull = std::move(own);
    }
  }
  return answer;
}

std::vector<ServerRecord> MergeDelta(Directory& directory,
                                     const DirectoryDelta& delta,
                                     const NodeId& from,
                                     SteadyTime now) {
  std::vector<ServerRecord> changed;
  for (const ServerRecord& record : delta.records) {
    if (MergeRecord(directory, record, from, now)) {
      changed.push_back(record);
    }
  }
  return changed;
}

std::vector<ExchangePeer> ExchangePeers(const std::set<NodeId>& nodes,
                                        const NodeId& self) {
  const std::vector<NodeId> ring(nodes.begin(), nodes.end());
  const auto it = std::find(ring.begin(), ring.end(), self);
  if (it == ring.end()) {
    return {};
  }
  const size_t n = ring.size();
  const size_t position = it - ring.begin();
  std::vector<ExchangePeer> peers;
  if (n <= kFullMeshNodes) {
    for (size_t distance = 1; distance < n; ++distance) {
      peers.push_back({ring[(position + distance) % n],
                       distance == 1 || distance == n / 2});
    }
    return peers;
  }
  for (size_t distance = 1; distance <= n / 2; distance *= 4) {
    peers.push_back({ring[(position + distance) % n], true});
    if (2 * distance != n) {
      peers.push_back({ring[(position + n - distance) % n], true});
    }
  }
  return peers;
}

std::vector<size_t> TakeDigestPeers(DirectoryExchange& exchange,
                                    size_t peer_count) {
  std::vector<size_t> positions;
  for (size_t n = 0; n < std::min(kDigestPeers, peer_count); ++n) {
    positions.push_back(exchange.digest_round++ % peer_count);
  }
  return positions;
}

}  // namespace gooseberryrock::directory
