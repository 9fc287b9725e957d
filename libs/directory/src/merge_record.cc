// Order and merging of the records of one backend server.

#include "gooseberryrock/directory/merge_record.h"

#include <tuple>
#include <utility>

#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::directory {

namespace {

void Store(Directory& directory, ServerRecord record, SteadyTime now) {
  DirectoryEntry& entry = directory.entries[record.id];
  entry.record = std::move(record);
  entry.changed_at = ++directory.change_count;
  entry.renewed_at = now;
}

}  // namespace

bool IsNewer(const ServerRecord& a, const ServerRecord& b) {
  return std::tie(a.incarnation, a.state, a.sequence, a.owner_epoch) >
         std::tie(b.incarnation, b.state, b.sequence, b.owner_epoch);
}

bool MergeRecord(Directory& directory,
                 const ServerRecord& record,
                 SteadyTime now) {
  auto it = directory.entries.find(record.id);
  if (it != directory.entries.end() && !IsNewer(record, it->second.record)) {
    return false;
  }
  Store(directory, record, now);
  return true;
}

bool AcceptAnnouncement(Directory& directory,
                        ServerRecord record,
                        const NodeId& self,
                        SteadyTime now) {
  record.owner = self;
  auto it = directory.entries.find(record.id);
  if (it == directory.entries.end()) {
    record.owner_epoch = 1;
    Store(directory, std::move(record), now);
    return true;
  }
  DirectoryEntry& entry = it->second;
  record.owner_epoch = entry.record.owner_epoch;
  if (entry.record.owner != self) {
    ++record.owner_epoch;
  }
  if (IsNewer(record, entry.record)) {
    Store(directory, std::move(record), now);
    return true;
  }
  // An older incarnation must not keep the record of a newer one alive.
  if (record.incarnation == entry.record.incarnation) {
    entry.renewed_at = now;
  }
  return false;
}

}  // namespace gooseberryrock::directory
