// Orders and merges the records of one backend server.

#include "gooseberryrock/directory/merge_record.h"

#include <tuple>
#include <utility>

#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::directory {

namespace {

auto OrderKey(const ServerRecord& record) {
  return std::tie(record.incarnation, record.state, record.sequence,
                  record.owner_epoch, record.owner);
}

bool IsSameAnnouncement(const ServerRecord& a, const ServerRecord& b) {
  return std::tie(a.incarnation, a.state, a.sequence) ==
         std::tie(b.incarnation, b.state, b.sequence);
}

}  // namespace

bool IsNewer(const ServerRecord& a, const ServerRecord& b) {
  if (OrderKey(a) != OrderKey(b)) {
    return OrderKey(a) > OrderKey(b);
  }
  return a != b && RecordHash(a) > RecordHash(b);
}

bool MergeRecord(Directory& directory,
                 const ServerRecord& record,
                 const NodeId& from,
                 SteadyTime now) {
  auto it = directory.entries.find(record.id);
  if (it != directory.entries.end() && !IsNewer(record, it->second.record)) {
    return false;
  }
  // The expiry period matters only if this node is the owner and has lost the
  // record in a restart.
  return StoreRecord(directory, record, from, now + kRepairGrace, now);
}

bool AcceptAnnouncement(Directory& directory,
                        ServerRecord record,
                        const NodeId& self,
                        SteadyTime now) {
  record.owner = self;
  auto it = directory.entries.find(record.id);
  if (it == directory.entries.end()) {
    record.owner_epoch = 1;
    return StoreRecord(directory, std::move(record), {}, now, now);
  }
  DirectoryEntry& entry = it->second;
  const ServerRecord& known = entry.record;
  if (known.owner == self && IsSameAnnouncement(record, known)) {
    if (known.state != ServerState::kGone) {
      entry.renewed_at = now;
    }
    return false;
  }
  record.owner_epoch = known.owner_epoch + (known.owner == self ? 0 : 1);
  // A repeated "gone" announcement is not a change.
  if (!IsNewer(record, known) || (known.state == ServerState::kGone &&
                                  record.incarnation == known.incarnation)) {
    return false;
  }
  return StoreRecord(directory, std::move(record), {}, now, now);
}

bool NeedsNewIncarnation(const Directory& directory,
                         const ServerRecord& announced) {
  auto it = directory.entries.find(announced.id);
  if (it == directory.entries.end()) {
    return false;
  }
  const ServerRecord& known = it->second.record;
  return known.incarnation > announced.incarnation ||
         (known.incarnation == announced.incarnation &&
          known.state == ServerState::kGone &&
          announced.state != ServerState::kGone);
}

}  // namespace gooseberryrock::directory
