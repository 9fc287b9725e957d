// Stores records and maintains their indices.

#include "gooseberryrock/directory/directory.h"

#include <iterator>
#include <string>

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::directory {

namespace {

void AppendNumber(std::string& buf, uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8) {
    buf.push_back(static_cast<char>(value >> shift));
  }
}

void AppendText(std::string& buf, const std::string& text) {
  AppendNumber(buf, text.size());
  buf += text;
}

void RemoveFromIndices(Directory& directory, const DirectoryEntry& entry) {
  const ServerRecord& record = entry.record;
  const uint32_t leaf = DigestLeaf(record.id);
  directory.changes.erase(entry.changed_at);
  auto owned = directory.by_owner.find(record.owner);
  owned->second.erase(record.id);
  if (owned->second.empty()) {
    directory.by_owner.erase(owned);
  }
  if (record.state != ServerState::kGone) {
    directory.leaf_hashes[leaf] -= entry.hash;
  }
}

void AddToIndices(Directory& directory, const DirectoryEntry& entry) {
  const ServerRecord& record = entry.record;
  const uint32_t leaf = DigestLeaf(record.id);
  directory.changes[entry.changed_at] = record.id;
  directory.by_owner[record.owner].insert(record.id);
  directory.by_leaf[leaf].insert(record.id);
  if (record.state != ServerState::kGone) {
    directory.leaf_hashes[leaf] += entry.hash;
  }
}

void Erase(Directory& directory, const BackendServerId& id) {
  auto it = directory.entries.find(id);
  RemoveFromIndices(directory, it->second);
  auto leaf = directory.by_leaf.find(DigestLeaf(id));
  leaf->second.erase(id);
  if (leaf->second.empty()) {
    directory.by_leaf.erase(leaf);
  }
  directory.entries.erase(it);
}

// Removes the server that has been gone the longest, unless it has returned.
// Returns whether a record was removed.
bool RemoveOldestGone(Directory& directory) {
  const auto [since, id] = std::move(directory.gone.front());
  directory.gone.pop_front();
  auto it = directory.entries.find(id);
  // A server that returned and is gone again has a second entry in the queue.
  if (it == directory.entries.end() ||
      it->second.record.state != ServerState::kGone ||
      it->second.renewed_at != since) {
    return false;
  }
  Erase(directory, id);
  return true;
}

bool MakeRoom(Directory& directory) {
  while (directory.entries.size() >= kMaxRecords && !directory.gone.empty()) {
    RemoveOldestGone(directory);
  }
  return directory.entries.size() < kMaxRecords;
}

}  // namespace

uint32_t DigestLeaf(const BackendServerId& id) {
  return static_cast<uint32_t>(Hash64(id.value) % kDigestLeaves);
}

uint64_t RecordHash(const ServerRecord& record) {
  std::string buf;
  AppendText(buf, record.id.value);
  AppendNumber(buf, record.incarnation);
  AppendNumber(buf, static_cast<uint64_t>(record.state));
  AppendNumber(buf, record.sequence);
  AppendText(buf, record.service.value);
  AppendText(buf, record.failure_domain.value);
  AppendText(buf, record.host);
  AppendNumber(buf, record.port);
  for (const auto& [key, value] : record.labels) {
    AppendText(buf, key);
    AppendText(buf, value);
  }
  AppendNumber(buf, record.replicas.size());
  for (const ShardReplica& replica : record.replicas) {
    AppendNumber(buf, replica.layout_version);
    AppendText(buf, replica.shard.value);
    AppendNumber(buf, replica.index_versions.size());
    for (uint64_t version : replica.index_versions) {
      AppendNumber(buf, version);
    }
  }
  AppendNumber(buf, record.slots);
  AppendNumber(buf, record.connection_limit);
  AppendText(buf, record.owner.value);
  AppendNumber(buf, record.owner_epoch);
  // Nodes of earlier releases compute the same hash for warm servers.
  if (record.cold) {
    AppendNumber(buf, 1);
  }
  return Hash64(buf);
}

bool StoreRecord(Directory& directory,
                 ServerRecord record,
                 const NodeId& learned_from,
                 SteadyTime renewed_at,
                 SteadyTime now) {
  auto it = directory.entries.find(record.id);
  if (it != directory.entries.end()) {
    RemoveFromIndices(directory, it->second);
  } else if (!MakeRoom(directory)) {
    ++directory.refused_full;
    return false;
  }
  const bool is_gone = record.state == ServerState::kGone;
  DirectoryEntry& entry = directory.entries[record.id];
  if (entry.record.owner != record.owner) {
    entry.previous_owner = entry.record.owner;
  }
  entry.hash = RecordHash(record);
  entry.record = std::move(record);
  entry.changed_at = ++directory.change_count;
  entry.learned_from = learned_from;
  entry.renewed_at = is_gone ? now : renewed_at;
  if (is_gone) {
    directory.gone.emplace_back(now, entry.record.id);
  }
  AddToIndices(directory, entry);
  return true;
}

std::vector<ServerRecord> ChangesSince(const Directory& directory,
                                       uint64_t since) {
  std::vector<ServerRecord> changes;
  for (auto it = directory.changes.upper_bound(since);
       it != directory.changes.end(); ++it) {
    changes.push_back(directory.entries.at(it->second).record);
  }
  return changes;
}

DirectoryChanges SomeChangesSince(const Directory& directory,
                                  uint64_t since,
                                  size_t max) {
  DirectoryChanges changes;
  changes.to = directory.change_count;
  for (auto it = directory.changes.upper_bound(since);
       it != directory.changes.end(); ++it) {
    if (changes.records.size() == max) {
      changes.has_more = true;
      changes.to = std::prev(it)->first;
      break;
    }
    changes.records.push_back(directory.entries.at(it->second).record);
  }
  return changes;
}

size_t RemoveGone(Directory& directory, SteadyTime now) {
  size_t n = 0;
  while (!directory.gone.empty() &&
         now - directory.gone.front().first >= kGoneRetention) {
    n += RemoveOldestGone(directory) ? 1 : 0;
  }
  return n;
}

}  // namespace gooseberryrock::directory
