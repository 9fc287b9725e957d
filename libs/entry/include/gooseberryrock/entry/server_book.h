// The backend servers that an entry node knows, and which of them take work.

#ifndef GOOSEBERRYROCK_ENTRY_SERVER_BOOK_H_
#define GOOSEBERRYROCK_ENTRY_SERVER_BOOK_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/entry/server_change.h"

namespace gooseberryrock::entry {

// A server that a control VM knew before it started again, used until the
// server announces itself or `until` has passed.
struct RememberedServer {
  directory::ServerRecord record;
  SteadyTime until;
};

struct ServerBook {
  directory::Directory directory;
  // The newest server at each address. An address is used again by another
  // server some time after its earlier one has ended.
  std::map<std::pair<std::string, uint16_t>, BackendServerId> by_address;
  // None of them is in `directory`.
  std::map<BackendServerId, RememberedServer> remembered;
};

// Takes over the records that are newer than the known ones, and returns the
// changes that follow.
std::vector<ServerChange> MergeRecords(
    ServerBook& book,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime now);

// Uses those of `records` of which nothing else is known, until `until`.
std::vector<ServerChange> RememberServers(
    ServerBook& book,
    const std::vector<directory::ServerRecord>& records,
    SteadyTime until);

// Stops using the remembered servers that have not announced themselves.
std::vector<ServerChange> ForgetRemembered(ServerBook& book, SteadyTime now);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_SERVER_BOOK_H_
