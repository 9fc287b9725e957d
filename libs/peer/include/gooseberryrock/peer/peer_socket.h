// Sends frames to other nodes and receives theirs. One thread owns all ZeroMQ
// sockets: a ROUTER that receives and a DEALER for each peer.
//
// Delivery is best effort: frames may be lost, but a frame is handled at most
// once and frames of one sender are handled in the order in which they were
// sent. Frames whose sequence number is not above the last one of the same
// sender and incarnation are dropped, whatever their kind. A sender numbers the
// frames to one receiver in the order in which they enter one TCP stream, so
// this drops nothing but replays and, after a reconnect, frames that arrive
// late on the old connection; those are rare and equal to a loss.

#ifndef GOOSEBERRYROCK_PEER_PEER_SOCKET_H_
#define GOOSEBERRYROCK_PEER_PEER_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/peer/frame_kind.h"
#include "gooseberryrock/peer/peer_stats.h"

namespace gooseberryrock::peer {

struct PeerFrame;

// A numeric IP address and a TCP port at which a node receives frames.
struct PeerAddress {
  NodeId node;
  std::string host;
  uint16_t port = 0;
};

struct PeerSocketOptions {
  std::string cluster;
  std::string cluster_key;
  // This node and where it receives. Port 0 lets the system choose.
  PeerAddress self;
  // Must rise with each start of the node and be above zero.
  uint64_t incarnation = 0;
  std::vector<PeerAddress> peers;
  // Bounds of the frames that wait for one peer; the oldest are dropped.
  size_t max_queued_frames = 1024;
  size_t max_queued_bytes = size_t{8} << 20;
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // A connection without any traffic for this long is closed and opened again.
  Duration heartbeat_timeout = std::chrono::milliseconds(1500);
};

enum class Direction { kIncoming, kOutgoing };

class PeerSocket {
 public:
  // Called on the peer thread, which receives nothing meanwhile.
  using FrameHandler = std::function<void(PeerFrame)>;

  // Throws PeerSocketError when the address is in use or not valid.
  PeerSocket(const PeerSocketOptions& options, FrameHandler handler);
  // Drops the frames that were not sent yet. Must not run on the peer thread.
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // The port at which this node receives.
  uint16_t port() const;

  // Connects to a peer, or changes the address of a known one. From any thread.
  void AddPeer(PeerAddress peer);
  // Drops what is queued for the peer and closes the connection to it; its
  // frames are still received. It may be added again.
  void RemovePeer(const NodeId& node);

  // Queues a frame. From any thread, also from the handler. Throws FrameError
  // when the frame would exceed 4 MiB.
  void Send(const NodeId& node, FrameKind kind, std::string body);

  // Drops all frames from (kIncoming) or to (kOutgoing) `node`. For tests that
  // partition nodes at run time.
  void SetBlocked(const NodeId& node, Direction direction, bool blocked);

  PeerStats Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_PEER_SOCKET_H_
