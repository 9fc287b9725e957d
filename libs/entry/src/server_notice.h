// What a backend server said of itself in a reply to one I/O shard, for the
// other I/O shards of the node.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_NOTICE_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_NOTICE_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::entry {

struct ServerNotice {
  BackendServerId server;
  // A notice of an earlier incarnation says nothing about a later one.
  uint64_t incarnation = 0;
  bool leaving = false;
  // Zero if the server asked for no rest.
  Duration rest = Duration::zero();
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_NOTICE_H_
