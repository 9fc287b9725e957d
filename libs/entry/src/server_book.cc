// The backend servers that an entry node knows.

#include "gooseberryrock/entry/server_book.h"

#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::entry {

namespace {

bool TakesWork(const directory::ServerRecord& record) {
  return record.state == directory::ServerState::kReady;
}

// Makes `record` the server at its address unless a newer one is there.
// Returns whether it is.
bool ClaimAddress(ServerBook& book,
                  const directory::ServerRecord& record,
                  std::vector<ServerChange>& changes) {
  BackendServerId& holder = book.by_address[{record.host, record.port}];
  auto known = book.directory.entries.find(holder);
  if (holder == record.id || known == book.directory.entries.end()) {
    holder = record.id;
    return true;
  }
  const directory::ServerRecord& other = known->second.record;
  const bool other_moved =
      other.host != record.host || other.port != record.port;
  if (!other_moved && other.incarnation > record.incarnation) {
    return false;
  }
  if (!other_moved) {
    changes.push_back({other, /*usable=*/false});
  }
  holder = record.id;
  return true;
}

}  // namespace

std::vector<ServerChange> MergeRecords(
    ServerBook& book,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime now) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    if (!directory::MergeRecord(book.directory, record, {}, now)) {
      continue;
    }
    const bool holds_address = ClaimAddress(book, record, changes);
    changes.push_back({record, holds_address && TakesWork(record)});
  }
  return changes;
}

}  // namespace gooseberryrock::entry
