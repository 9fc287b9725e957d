// Encoding and authentication of frames between nodes. A frame is a protobuf
// message followed by a MAC under a key derived from the cluster key.

#ifndef GOOSEBERRYROCK_PEER_FRAME_H_
#define GOOSEBERRYROCK_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::peer {

// Frames with a lower version are rejected. Unknown fields of higher versions
// are ignored, which allows rolling upgrades.
inline constexpr uint32_t kProtocolVersion = 1;
inline constexpr size_t kMaxFrameSize = size_t{4} << 20;

using FrameKey = std::array<unsigned char, 32>;

struct PeerFrame {
  std::string cluster;
  uint32_t protocol_version = kProtocolVersion;
  NodeId sender;
  // Incarnation of the sender; increases with each start of the node.
  uint64_t incarnation = 0;
  // Increases with each frame from this sender to this receiver.
  uint64_t sequence = 0;
  NodeId receiver;
  // The process of `receiver` that the frame is for; 0 if it is for any.
  uint64_t receiver_incarnation = 0;
  FrameKind kind = FrameKind::kConsensus;
  std::string body;

  bool operator==(const PeerFrame&) const = default;
};

// Values that received frames must match.
struct FrameExpectations {
  std::string cluster;
  NodeId receiver;
  uint32_t oldest_version = kProtocolVersion;
};

// Derives the MAC key from the cluster key in the settings.
FrameKey DeriveFrameKey(std::string_view cluster_key);

// Encodes a frame and appends the MAC. Throws FrameError (kOversized) if the
// result exceeds kMaxFrameSize.
std::string SealFrame(const PeerFrame& frame, const FrameKey& key);

// Appends the MAC to an encoded message. Throws FrameError (kOversized).
std::string SealBytes(std::string bytes, const FrameKey& key);

// Verifies and decodes a frame. The MAC is verified before parsing. Throws
// FrameError.
PeerFrame OpenFrame(std::string_view bytes,
                    const FrameKey& key,
                    const FrameExpectations& expected);

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_FRAME_H_
