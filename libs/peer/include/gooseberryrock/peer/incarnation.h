// Numbers the starts of a process.

#ifndef GOOSEBERRYROCK_PEER_INCARNATION_H_
#define GOOSEBERRYROCK_PEER_INCARNATION_H_

#include <cstdint>

namespace gooseberryrock::peer {

// Microseconds since 1970: rises with each start unless the clock was set back,
// which receivers of frames allow for (PeerSocket).
uint64_t IncarnationOfThisStart();

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_INCARNATION_H_
