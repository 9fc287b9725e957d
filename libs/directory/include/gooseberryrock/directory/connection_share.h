// How many connections a node may open to a backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_
#define GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/reservation.h"

namespace gooseberryrock::directory {

// The share of the node at `place` in the `limit` of a server of
// `server_domain`. The shares of all places add up to the limit. Each place
// gets one connection while the limit allows it, those of the server's failure
// domain first. Of the rest, the server's failure domain gets at least two
// thirds, and each place there at least twice as much as one elsewhere, but for
// rounding. A place outside the reservation gets none.
//
// Where there are fewer connections than places, `rotation` says which places
// get none; servers with different ones leave out different places.
uint32_t ConnectionShare(uint32_t limit,
                         const Reservation& reservation,
                         const FailureDomain& server_domain,
                         const ReservedPlace& place,
                         uint64_t rotation = 0);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_
