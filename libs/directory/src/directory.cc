// Changes and expiry of records.

#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::directory {

std::vector<ServerRecord> ChangesSince(const Directory& directory,
                                       uint64_t since) {
  std::vector<ServerRecord> changes;
  for (const auto& [id, entry] : directory.entries) {
    if (entry.changed_at > since) {
      changes.push_back(entry.record);
    }
  }
  return changes;
}

std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        Duration expiry,
                                        SteadyTime now) {
  std::vector<ServerRecord> expired;
  for (auto& [id, entry] : directory.entries) {
    ServerRecord& record = entry.record;
    if (record.owner == self && record.state != ServerState::kGone &&
        now - entry.renewed_at > expiry) {
      record.state = ServerState::kGone;
      entry.changed_at = ++directory.change_count;
      expired.push_back(record);
    }
  }
  return expired;
}

}  // namespace gooseberryrock::directory
