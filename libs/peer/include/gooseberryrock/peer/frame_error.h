// Error for rejected frames.

#ifndef GOOSEBERRYROCK_PEER_FRAME_ERROR_H_
#define GOOSEBERRYROCK_PEER_FRAME_ERROR_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::peer {

// Reason for rejecting a frame. A truncated frame that is at least as long as
// the MAC is indistinguishable from one with a wrong MAC and reported as such.
enum class FrameFault {
  kTruncated,
  kOversized,
  kWrongMac,
  kMalformed,
  kOtherCluster,
  kOldVersion,
  kOtherReceiver,
};

inline constexpr size_t kFrameFaultCount = 7;

// Returns the name used in metrics, for example "wrong_mac".
std::string_view FrameFaultName(FrameFault fault);

class FrameError : public Error {
 public:
  FrameError(FrameFault fault, std::string message);

  FrameFault fault() const { return fault_; }

 private:
  FrameFault fault_;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_FRAME_ERROR_H_
