// The backend servers known to an entry node.

#include "gooseberryrock/entry/known_servers.h"

#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::entry {

namespace {

bool AcceptsWork(const directory::ServerRecord& record) {
  return record.state == directory::ServerState::kReady;
}

// Assigns the address to `record` unless a newer server uses it. Returns
// whether the address was assigned.
bool AssignAddress(KnownServers& known_servers,
                   const directory::ServerRecord& record,
                   std::vector<ServerChange>& changes) {
  BackendServerId& owner = known_servers.by_address[{record.host, record.port}];
  auto known = known_servers.directory.entries.find(owner);
  if (owner == record.id || known == known_servers.directory.entries.end()) {
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
void RemoveRemembered(KnownServers& known_servers,
                      const directory::ServerRecord& record,
                      std::vector<ServerChange>& changes) {
  known_servers.remembered.erase(record.id);
  std::erase_if(known_servers.remembered, [&](const auto& it) {
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
    KnownServers& known_servers,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime now) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    if (!directory::MergeRecord(known_servers.directory, record, {}, now)) {
      continue;
    }
    RemoveRemembered(known_servers, record, changes);
    const bool owns_address = AssignAddress(known_servers, record, changes);
    changes.push_back({record, owns_address && AcceptsWork(record)});
  }
  return changes;
}

std::vector<ServerChange> AddRememberedServers(
    KnownServers& known_servers,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime until) {
  std::vector<ServerChange> changes;
  for (const directory::ServerRecord& record : records) {
    const bool known =
        known_servers.directory.entries.contains(record.id) ||
        known_servers.by_address.contains({record.host, record.port});
    if (!known && AcceptsWork(record) &&
        known_servers.remembered
            .try_emplace(record.id, RememberedServer{record, until})
            .second) {
      changes.push_back({record, /*usable=*/true});
    }
  }
  return changes;
}

std::vector<ServerChange> ExpireRememberedServers(KnownServers& known_servers,
                                                  SteadyTime now) {
  std::vector<ServerChange> changes;
  std::erase_if(known_servers.remembered, [&](const auto& it) {
    const bool expired = now >= it.second.until;
    if (expired) {
      changes.push_back({it.second.record, /*usable=*/false});
    }
    return expired;
  });
  return changes;
}

}  // namespace gooseberryrock::entry
