// Encoding and authentication of what nodes send to each other: a protobuf
// message followed by a MAC under the cluster key.

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

// Frames of a lower version are refused. A higher version is read as far as it
// is known, so that nodes can be upgraded one by one.
inline constexpr uint32_t kProtocolVersion = 1;
inline constexpr size_t kMaxFrameSize = size_t{4} << 20;

using FrameKey = std::array<unsigned char, 32>;

struct PeerFrame {
  std::string cluster;
  uint32_t protocol_version = kProtocolVersion;
  NodeId sender;
  // Incarnation of the sender; rises with each start of the node.
  uint64_t incarnation = 0;
  // Rises with each frame from this sender to this receiver.
  uint64_t sequence = 0;
  NodeId receiver;
  FrameKind kind = FrameKind::kConsensus;
  std::string body;

  bool operator==(const PeerFrame&) const = default;
};

// What a node requires of the frames that it receives.
struct FrameExpectations {
  std::string cluster;
  NodeId receiver;
  uint32_t oldest_version = kProtocolVersion;
};

// The MAC key that belongs to the cluster key in the settings.
FrameKey DeriveFrameKey(std::string_view cluster_key);

// Throws FrameError (kOversized) when the frame exceeds kMaxFrameSize.
std::string SealFrame(const PeerFrame& frame, const FrameKey& key);

// Appends the MAC to an encoded frame. Throws FrameError (kOversized).
std::string SealBytes(std::string bytes, const FrameKey& key);

// Checks the MAC before anything is parsed. Throws FrameError.
PeerFrame OpenFrame(std::string_view bytes,
                    const FrameKey& key,
                    const FrameExpectations& expected);

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_FRAME_H_
