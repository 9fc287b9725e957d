// A frame from another node was refused.

#ifndef GOOSEBERRYROCK_PEER_FRAME_ERROR_H_
#define GOOSEBERRYROCK_PEER_FRAME_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::peer {

class FrameError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_FRAME_ERROR_H_
