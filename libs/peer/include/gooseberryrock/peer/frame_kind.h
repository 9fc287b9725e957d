// Type of the message in a frame body; see proto/peer.proto.

#ifndef GOOSEBERRYROCK_PEER_FRAME_KIND_H_
#define GOOSEBERRYROCK_PEER_FRAME_KIND_H_

#include <cstdint>

namespace gooseberryrock::peer {

// The values are part of the protocol.
enum class FrameKind : uint32_t {
  // Opaque to this library; the body is an encoded consensus message.
  kConsensus = 1,
  kForwardRequest = 2,
  kForwardReply = 3,
  kCatalogPoll = 4,
  kCatalogPollReply = 5,
  kDirectoryDelta = 6,
  kDirectoryDigest = 7,
  kDirectoryPull = 8,
  kPeerHeartbeat = 9,
  kCrashSuspicion = 10,
  kEntryPoll = 11,
  kEntryPollReply = 12,
  kControlHello = 13,
  kAllotmentTotals = 20,
};

inline constexpr uint32_t kMaxFrameKind = 20;

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_FRAME_KIND_H_
