// Traffic counters of a PeerSocket.

#ifndef GOOSEBERRYROCK_PEER_PEER_STATS_H_
#define GOOSEBERRYROCK_PEER_PEER_STATS_H_

#include <array>
#include <cstdint>

#include "gooseberryrock/peer/frame_error.h"

namespace gooseberryrock::peer {

struct PeerStats {
  uint64_t sent_frames = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_frames = 0;
  uint64_t received_bytes = 0;
  // Rejected frames by FrameFault.
  std::array<uint64_t, kFrameFaultCount> refused{};
  // Frames from an earlier incarnation of their sender.
  uint64_t stale_incarnation = 0;
  // Replies to an earlier process of this node.
  uint64_t stale_replies = 0;
  // Frames whose sequence number does not exceed the last one of their sender.
  uint64_t replayed = 0;
  // Frames dropped because the send queue of their receiver was full.
  uint64_t queue_full = 0;
  // Frames to nodes that are not peers.
  uint64_t unknown_receiver = 0;
  // Frames dropped by SetBlocked().
  uint64_t blocked = 0;
  // Frames whose handler threw an exception.
  uint64_t handler_errors = 0;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_PEER_STATS_H_
