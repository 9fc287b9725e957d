// Divides the connection limit of a backend server among the nodes.

#ifndef GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_
#define GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/reservation.h"

namespace gooseberryrock::directory {

// Returns the number of connections that the node at `place` may open to a
// server of `server_domain` with the connection limit `limit`. The shares of
// all places add up to the limit. Each place gets one connection as far as the
// limit allows, places in the server's failure domain first. Of the remaining
// connections, the server's failure domain gets at least two thirds, and, apart
// from rounding, each place there gets at least twice as many as a place
// elsewhere. A place outside the reservation gets none.
//
// If there are fewer connections than places, `rotation` selects the places
// that get none, so that servers with different values omit different places.
uint32_t ConnectionShare(uint32_t limit,
                         const Reservation& reservation,
                         const FailureDomain& server_domain,
                         const ReservedPlace& place,
                         uint64_t rotation = 0);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_CONNECTION_SHARE_H_
