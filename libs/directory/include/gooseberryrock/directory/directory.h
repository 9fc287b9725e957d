// All backend servers that a node knows.

#ifndef GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_
#define GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct DirectoryEntry {
  ServerRecord record;
  // Value of Directory::change_count when the record changed last.
  uint64_t changed_at = 0;
  // When this node last received an announcement of the server or became the
  // owner of its record. Used only while this node is the owner.
  SteadyTime renewed_at;
};

struct Directory {
  std::map<BackendServerId, DirectoryEntry> entries;
  // Rises with each changed record, so that a peer can ask for the changes
  // since a count that it has seen.
  uint64_t change_count = 0;
};

// Records that changed after the count `since`, in no particular order.
std::vector<ServerRecord> ChangesSince(const Directory& directory,
                                       uint64_t since);

// Marks the servers as gone that `self` owns and that have not announced
// themselves for longer than `expiry`. Returns the changed records.
std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        Duration expiry,
                                        SteadyTime now);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_DIRECTORY_H_
