// Incarnation number of a process.

#ifndef GOOSEBERRYROCK_PEER_INCARNATION_H_
#define GOOSEBERRYROCK_PEER_INCARNATION_H_

#include <cstdint>

namespace gooseberryrock::peer {

// Returns microseconds since the Unix epoch (1970). Increases with each process
// start unless the clock was set back, which PeerSocket handles at the
// receiver.
uint64_t MakeIncarnation();

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_INCARNATION_H_
