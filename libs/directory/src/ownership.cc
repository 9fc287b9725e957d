// Ownership and expiry of backend servers.

#include "gooseberryrock/directory/ownership.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::directory {

namespace {

std::vector<BackendServerId> OwnedBy(const Directory& directory,
                                     const NodeId& owner) {
  auto it = directory.by_owner.find(owner);
  if (it == directory.by_owner.end()) {
    return {};
  }
  return {it->second.begin(), it->second.end()};
}

// Marks the owned servers as gone for which `is_due` returns true.
std::vector<ServerRecord> Expire(
    Directory& directory,
    const NodeId& self,
    const std::function<bool(const DirectoryEntry&)>& is_due,
    SteadyTime now) {
  std::vector<ServerRecord> expired;
  for (const BackendServerId& id : OwnedBy(directory, self)) {
    const DirectoryEntry& entry = directory.entries.at(id);
    if (entry.record.state != ServerState::kGone && is_due(entry)) {
      ServerRecord record = entry.record;
      record.state = ServerState::kGone;
      expired.push_back(record);
      StoreRecord(directory, std::move(record), {}, now, now);
    }
  }
  return expired;
}

// Returns the live node that takes over from a lost node of `domain`.
NodeId Successor(const NodeDomains& live, const FailureDomain& domain) {
  for (const auto& [node, node_domain] : live) {
    if (node_domain == domain) {
      return node;
    }
  }
  return live.empty() ? NodeId{} : live.begin()->first;
}

}  // namespace

void OnContact(DomainContacts& contacts,
               const FailureDomain& sender,
               const FailureDomain& own,
               SteadyTime now) {
  for (const FailureDomain& domain : {sender, own}) {
    auto [it, is_new] = contacts.try_emplace(domain, DomainContact{now, now});
    if (now - it->second.last > kContactGap) {
      it->second.since = now;
    }
    it->second.last = now;
  }
}

std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        const DomainContacts& contacts,
                                        Duration expiry,
                                        SteadyTime now) {
  const auto is_due = [&](const DirectoryEntry& entry) {
    auto it = contacts.find(entry.record.failure_domain);
    return it != contacts.end() &&
           it->second.last -
                   std::max(entry.renewed_at, it->second.since + kRepairGrace) >
               expiry;
  };
  return Expire(directory, self, is_due, now);
}

std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        Duration expiry,
                                        SteadyTime now) {
  const auto is_due = [&](const DirectoryEntry& entry) {
    return now - entry.renewed_at > expiry;
  };
  return Expire(directory, self, is_due, now);
}

std::vector<ServerRecord> TakeOverRecords(Directory& directory,
                                          const NodeDomains& live,
                                          const NodeDomains& lost,
                                          const NodeId& self,
                                          SteadyTime now) {
  std::vector<ServerRecord> adopted;
  for (const auto& [node, domain] : lost) {
    if (Successor(live, domain) != self) {
      continue;
    }
    for (const BackendServerId& id : OwnedBy(directory, node)) {
      ServerRecord record = directory.entries.at(id).record;
      if (record.state == ServerState::kGone) {
        continue;
      }
      record.owner = self;
      ++record.owner_epoch;
      adopted.push_back(record);
      StoreRecord(directory, std::move(record), {}, now + kRepairGrace, now);
    }
  }
  return adopted;
}

std::vector<NodeId> FindLostOwners(const Directory& directory,
                                   const NodeDomains& live) {
  std::vector<NodeId> owners;
  for (const auto& [owner, servers] : directory.by_owner) {
    if (!live.contains(owner)) {
      owners.push_back(owner);
    }
  }
  return owners;
}

}  // namespace gooseberryrock::directory
