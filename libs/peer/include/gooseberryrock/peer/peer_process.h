// Identity of one process of a node.

#ifndef GOOSEBERRYROCK_PEER_PEER_PROCESS_H_
#define GOOSEBERRYROCK_PEER_PEER_PROCESS_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::peer {

struct PeerProcess {
  NodeId node;
  // Differs for each start of the node.
  uint64_t incarnation = 0;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_PEER_PROCESS_H_
