// The backend servers known to a node, indexed so that the cost of an exchange
// is proportional to the number of changes.

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
// Records of gone servers are kept for this long, so that a late message does
// not restore the server.
inline constexpr Duration kGoneRetention = std::chrono::minutes(10);
// The digest is a hash tree of two levels. At 15,000 servers, a leaf covers
// about four of them.
inline constexpr size_t kDigestGroups = 64;
inline constexpr size_t kLeavesPerGroup = 64;
inline constexpr size_t kDigestLeaves = kDigestGroups * kLeavesPerGroup;

struct DirectoryEntry {
  ServerRecord record;
  uint64_t hash = 0;
  // Directory::change_count at the last change of the record.
  uint64_t changed_at = 0;
  // Node that sent the record; empty if this node made the last change.
  NodeId learned_from;
  // The previous owner, or empty. Every node relays the record to it, because
  // it would declare the server gone if it missed the change of ownership.
  NodeId previous_owner;
  // Start of the expiry period if this node is the owner. In the future while
  // the period is extended.
  SteadyTime renewed_at;
};

// Modified only by the functions of this library, which maintain the indices.
struct Directory {
  std::map<BackendServerId, DirectoryEntry> entries;
  // Incremented with each changed record.
  uint64_t change_count = 0;
  // Maps the `changed_at` of each entry to its server.
  std::map<uint64_t, BackendServerId> changes;
  std::map<NodeId, std::set<BackendServerId>> by_owner;
  // Servers by digest leaf.
  std::map<uint32_t, std::set<BackendServerId>> by_leaf;
  // Sums of the hashes of the records by leaf. Records of gone servers are
  // excluded because nodes remove them at different times.
  std::array<uint64_t, kDigestLeaves> leaf_hashes{};
  // Gone servers with the time of that change, oldest first.
  std::deque<std::pair<SteadyTime, BackendServerId>> gone;
  // Number of records rejected because the directory was full.
  uint64_t refused_full = 0;
};

// Returns the digest leaf of a server id, which is the same on all nodes.
uint32_t DigestLeaf(const BackendServerId& id);

// Returns a hash of all fields, which is the same on all nodes.
uint64_t RecordHash(const ServerRecord& record);

// Inserts or replaces a record unconditionally. Returns false if the directory
// is full.
bool StoreRecord(Directory& directory,
                 ServerRecord record,
                 const NodeId& learned_from,
                 SteadyTime renewed_at,
                 SteadyTime now);

// Returns the records changed after the change count `since`, oldest change
// first. The cost is proportional to the size of the result.
std::vector<ServerRecord> ChangesSince(const Directory& directory,
                                       uint64_t since);

struct DirectoryChanges {
  std::vector<ServerRecord> records;
  // The receiver has all changes up to this change count.
  uint64_t to = 0;
  // Whether records were left out.
  bool has_more = false;
};

// As ChangesSince(), but returns at most `max` records.
DirectoryChanges SomeChangesSince(const Directory& directory,
                                  uint64_t since,
                                  size_t max);

// Removes the servers that have been gone for kGoneRetention. Returns the
// number of removed records.
size_t RemoveGone(Directory& directory, SteadyTime now);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_
