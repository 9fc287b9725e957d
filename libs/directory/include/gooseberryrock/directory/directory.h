// All backend servers that a node knows, with the indices that keep the cost of
// an exchange in proportion to the changes.

#ifndef GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_
#define GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

// More than three times the 15,000 servers of the target size.
inline constexpr size_t kMaxRecords = 50000;
// Records of servers that have gone are remembered for this long, so that a
// late message does not bring the server back.
inline constexpr Duration kGoneRetention = std::chrono::minutes(10);
// The digest is a tree of two levels. At 15,000 servers a leaf holds four.
inline constexpr size_t kDigestGroups = 64;
inline constexpr size_t kLeavesPerGroup = 64;
inline constexpr size_t kDigestLeaves = kDigestGroups * kLeavesPerGroup;

struct DirectoryEntry {
  ServerRecord record;
  uint64_t hash = 0;
  // Value of Directory::change_count when the record changed last.
  uint64_t changed_at = 0;
  // Node that sent the record; empty when this node changed it last.
  NodeId learned_from;
  // The owner before the present one, or empty. It must hear of the change, or
  // it declares the server gone, so every node relays the record to it.
  NodeId previous_owner;
  // Start of the expiry period while this node is the owner. Lies in the future
  // while the period is extended.
  SteadyTime renewed_at;
};

// Change only through the functions of this library, which keep the indices.
struct Directory {
  std::map<BackendServerId, DirectoryEntry> entries;
  // Rises with each changed record.
  uint64_t change_count = 0;
  // Each server once, under the `changed_at` of its entry.
  std::map<uint64_t, BackendServerId> changes;
  std::map<NodeId, std::set<BackendServerId>> by_owner;
  // Servers by digest leaf.
  std::map<uint32_t, std::set<BackendServerId>> by_leaf;
  // Sums of the hashes of the records that have not gone. Records that have
  // gone are left out because nodes forget them at different times.
  std::array<uint64_t, kDigestLeaves> leaf_hashes{};
  // When servers went, oldest first.
  std::deque<std::pair<SteadyTime, BackendServerId>> gone;
  // Records refused because the directory was full.
  uint64_t refused_full = 0;
};

// Digest leaf of a server id; equal on all nodes.
uint32_t DigestLeaf(const BackendServerId& id);

// Hash of all fields; equal on all nodes.
uint64_t RecordHash(const ServerRecord& record);

// Inserts or replaces a record without comparing it with the known one.
// Returns false when the directory is full.
bool StoreRecord(Directory& directory,
                 ServerRecord record,
                 const NodeId& learned_from,
                 SteadyTime renewed_at,
                 SteadyTime now);

// Records that changed after the count `since`, oldest change first. The cost
// is in proportion to the result.
std::vector<ServerRecord> ChangesSince(const Directory& directory,
                                       uint64_t since);

// Forgets the servers that went longer than kGoneRetention ago. Returns how
// many.
size_t RemoveGone(Directory& directory, SteadyTime now);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_
