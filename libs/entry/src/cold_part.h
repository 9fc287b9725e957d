// Divides the requests that all entry nodes together may send at once to a cold
// server.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_COLD_PART_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_COLD_PART_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/reservation.h"

namespace gooseberryrock::entry {

// An I/O shard among those of its node.
struct ShardPlace {
  unsigned shards = 1;
  unsigned index = 0;
};

// Returns the part of the I/O shard `shard` of the node at `place` in `burst`
// requests to a server of `server_domain`. The parts of all shards of all nodes
// add up to `burst`. `rotation` selects the shards that get none.
uint32_t ColdPart(uint32_t burst,
                  const directory::Reservation& nodes,
                  directory::ReservedPlace place,
                  const ShardPlace& shard,
                  const FailureDomain& server_domain,
                  uint64_t rotation);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_COLD_PART_H_
