// The backend servers that an entry node knows.

#include "gooseberryrock/entry/server_book.h"

#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::entry {

namespace {

bool AcceptsWork(const directory::ServerRecord& record) {
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

// `record` is what its server says now: nothing remembered of it or of another
// server at its address counts any more.
void DropRemembered(ServerBook& book,
                    const directory::ServerRecord& record,
                    std::vector<ServerChange>& changes) {
  book.remembered.erase(record.id);
  std::erase_if(book.remembered, [&](const auto& it) {
    const directory::ServerRecord& other = it.second.record;
    const bool replaced =
        other.host == record.host && other.port == record.port;
    if (replaced) {
      changes.push_back({other, /*usable=*/false});
    }
    return replaced;
  });
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
    DropRemembered(book, record, changes);
    const bool holds_address = ClaimAddress(book, record, changes);
    changes.push_back({record, holds_address && AcceptsWork(record)});
  }
  return changes;
}

std::vector<ServerChange> RememberServers(
    ServerBook& book,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime until) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    const bool known = book.directory.entries.contains(record.id) ||
                       book.by_address.contains({record.host, record.port});
    if (!known && AcceptsWork(record) &&
        book.remembered.try_emplace(record.id, RememberedServer{record, until})
            .second) {
      changes.push_back({record, /*usable=*/true});
    }
  }
  return changes;
}

std::vector<ServerChange> ForgetRemembered(ServerBook& book, SteadyTime now) {
  std::vector<ServerChange> changes;
  std::erase_if(book.remembered, [&](const auto& it) {
    const bool expired = now >= it.second.until;
    if (expired) {
      changes.push_back({it.second.record, /*usable=*/false});
    }
    return expired;
  });
  return changes;
}

}  // namespace gooseberryrock::entry
