// The backend servers known to an entry node, and which of them accept
// requests.

#ifndef GOOSEBERRYROCK_ENTRY_KNOWN_SERVERS_H_
#define GOOSEBERRYROCK_ENTRY_KNOWN_SERVERS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/entry/server_change.h"

namespace gooseberryrock::entry {

// A server that a control VM knew before its restart. It is used until it
// announces itself or `until` has passed.
struct RememberedServer {
  directory::ServerRecord record;
  SteadyTime until;
};

struct KnownServers {
  directory::Directory directory;
  // The newest server at each address. An address may be reused by another
  // server some time after its previous one ended.
  std::map<std::pair<std::string, uint16_t>, BackendServerId> by_address;
  // Servers that are not in `directory`.
  std::map<BackendServerId, RememberedServer> remembered;
};

// Merges the records that are newer than the known ones. Returns the resulting
// changes.
std::vector<ServerChange> MergeRecords(
    KnownServers& known_servers,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime now);

// Adds those of `records` whose server and address are unknown, to be used
// until `until`.
std::vector<ServerChange> AddRememberedServers(
    KnownServers& known_servers,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime until);

// Removes remembered servers that did not announce themselves in time.
std::vector<ServerChange> ExpireRememberedServers(KnownServers& known_servers,
                                                  SteadyTime now);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_KNOWN_SERVERS_H_
