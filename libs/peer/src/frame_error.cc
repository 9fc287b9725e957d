// Error for rejected frames.

#include "gooseberryrock/peer/frame_error.h"

#include <utility>

namespace gooseberryrock::peer {

std::string_view FrameFaultName(FrameFault fault) {
  switch (fault) {
    case FrameFault::kTruncated:
      return "truncated";
    case FrameFault::kOversized:
      return "oversized";
    case FrameFault::kWrongMac:
      return "wrong_mac";
    case FrameFault::kMalformed:
      return "malformed";
    case FrameFault::kOtherCluster:
      return "other_cluster";
    case FrameFault::kOldVersion:
      return "old_version";
    case FrameFault::kOtherReceiver:
      return "other_receiver";
  }
  return "unknown";
}

FrameError::FrameError(FrameFault fault, std::string message)
    : Error(std::move(message)), fault_(fault) {}

}  // namespace gooseberryrock::peer
