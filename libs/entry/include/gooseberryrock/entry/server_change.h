// Changes that the control poller passes to the I/O shards.

#ifndef GOOSEBERRYROCK_ENTRY_SERVER_CHANGE_H_
#define GOOSEBERRYROCK_ENTRY_SERVER_CHANGE_H_

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/reservation.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/relay/gather_nodes.h"

namespace gooseberryrock::entry {

struct ServerChange {
  directory::ServerRecord record;
  // Accepts new requests: it is ready and the newest server at its address.
  bool usable = false;
};

// How the connection limits of the servers are divided among the entry nodes.
struct ConnectionPlan {
  directory::Reservation reservation;
  directory::ReservedPlace place;
  // All entry nodes, including this one.
  NodeId self;
  relay::NodesByDomain nodes;

  bool operator==(const ConnectionPlan& other) const {
    return reservation == other.reservation &&
           place.domain == other.place.domain &&
           place.position == other.place.position && self == other.self &&
           nodes == other.nodes;
  }
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_SERVER_CHANGE_H_
