// The backend servers known to an entry node.

#include "gooseberryrock/entry/server_book.h"

#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::entry {

namespace {

bool AcceptsWork(const directory::ServerRecord& record) {
  return record.state == directory::ServerState::kReady;
}

// Assigns the address to `record` unless a newer server uses it. Returns
// whether the address was assigned.
bool AssignAddress(ServerTable& server_table,
                   const directory::ServerRecord& record,
                   std::vector<ServerChange>& changes) {
  BackendServerId& owner = server_table.by_address[{record.host, record.port}];
  auto known = server_table.directory.entries.find(owner);
  if (owner == record.id || known == server_table.directory.entries.end()) {
    owner = record.id;
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
  owner = record.id;
  return true;
}

// Removes remembered servers with the id or address of `record`, which is more
// recent.
void RemoveRemembered(ServerTable& server_table,
                      const directory::ServerRecord& record,
                      std::vector<ServerChange>& changes) {
  server_table.remembered.erase(record.id);
  std::erase_if(server_table.remembered, [&](const auto& it) {
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
    ServerTable& server_table,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime now) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    if (!directory::MergeRecord(server_table.directory, record, {}, now)) {
      continue;
    }
    RemoveRemembered(server_table, record, changes);
    const bool owns_address = AssignAddress(server_table, record, changes);
    changes.push_back({record, owns_address && AcceptsWork(record)});
  }
  return changes;
}

std::vector<ServerChange> AddRememberedServers(
    ServerTable& server_table,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime until) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    const bool known =
        server_table.directory.entries.contains(record.id) ||
        server_table.by_address.contains({record.host, record.port});
    if (!known && AcceptsWork(record) &&
        server_table.remembered
            .try_emplace(record.id, RememberedServer{record, until})
            .second) {
      changes.push_back({record, /*usable=*/true});
    }
  }
  return changes;
}

std::vector<ServerChange> ExpireRememberedServers(ServerTable& server_table,
                                                  SteadyTime now) {
  std::vector<ServerChange> changes;
  std::erase_if(server_table.remembered, [&](const auto& it) {
    const bool expired = now >= it.second.until;
    if (expired) {
      changes.push_back({it.second.record, /*usable=*/false});
    }
    return expired;
  });
  return changes;
}

}  // namespace gooseberryrock::entry
