// Divides the requests that all entry nodes together may send at once to a cold
// server.

#include "cold_part.h"

#include "gooseberryrock/directory/connection_share.h"

namespace gooseberryrock::entry {

uint32_t ColdPart(uint32_t burst,
                  const directory::Reservation& nodes,
                  directory::ReservedPlace place,
                  const ShardPlace& shard,
                  const FailureDomain& server_domain,
                  uint64_t rotation) {
  // Each I/O shard has a place of its own: a fraction of a request cannot be
  // sent.
  directory::Reservation places = nodes;
  for (auto& [domain, n] : places) {
    n *= shard.shards;
  }
  place.position = place.position * shard.shards + shard.index;
  return directory::ConnectionShare(burst, places, server_domain, place,
                                    rotation);
}

}  // namespace gooseberryrock::entry
