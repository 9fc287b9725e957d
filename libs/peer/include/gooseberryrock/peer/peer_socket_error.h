// Error for failures to set up the peer sockets.

#ifndef GOOSEBERRYROCK_PEER_PEER_SOCKET_ERROR_H_
#define GOOSEBERRYROCK_PEER_PEER_SOCKET_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::peer {

class PeerSocketError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_PEER_SOCKET_ERROR_H_
