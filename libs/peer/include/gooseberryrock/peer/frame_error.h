// A frame from another node was refused.

#ifndef GOOSEBERRYROCK_PEER_FRAME_ERROR_H_
#define GOOSEBERRYROCK_PEER_FRAME_ERROR_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::peer {

// Why a frame was refused. A frame that was cut off after the MAC's length
// cannot be told from one with a wrong MAC and counts as such.
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

// Name of the fault in metrics, for example "wrong_mac".
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
