// Exchange of frames with other nodes. One thread owns all ZeroMQ sockets: a
// ROUTER socket for receiving and a DEALER socket per peer for sending.
//
// Delivery is best effort and at most once, in order per sender. Frames whose
// sequence number does not exceed the last one of the same sender and
// incarnation are dropped, regardless of their kind. Since sequence numbers
// follow the order in one TCP stream, this only drops replays and, after a
// reconnect, delayed frames from the old connection, which are rare and
// equivalent to a loss.

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
struct PeerProcess;

// Numeric IP address and TCP port on which a node receives frames.
struct PeerAddress {
  NodeId node;
  std::string host;
  uint16_t port = 0;
};

struct PeerSocketOptions {
  std::string cluster;
  std::string cluster_key;
  // This node and its receive address. Port 0 selects an ephemeral port.
  PeerAddress self;
  // Must be positive and increase with each start of the node.
  uint64_t incarnation = 0;
  std::vector<PeerAddress> peers;
  // Limits of the send queue per peer. The oldest frames are dropped first.
  size_t max_queued_frames = 1024;
  size_t max_queued_bytes = size_t{8} << 20;
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Time without traffic after which a connection is closed and reopened.
  Duration heartbeat_timeout = std::chrono::milliseconds(1500);
};

enum class Direction { kIncoming, kOutgoing };

class PeerSocket {
 public:
  // Called on the peer thread; blocks the receipt of further frames.
  using FrameHandler = std::function<void(PeerFrame)>;

  // Throws PeerSocketError if the address is in use or invalid.
  PeerSocket(const PeerSocketOptions& options, FrameHandler handler);
  // Drops unsent frames. Must not be called on the peer thread.
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // The port on which this node receives.
  uint16_t port() const;

  // Connects to a peer, or changes the address of a known peer. Thread-safe.
  void AddPeer(PeerAddress peer);
  // Drops the queued frames and closes the connection to the peer. Frames from
  // the peer are still received. The peer may be added again. Thread-safe.
  void RemovePeer(const NodeId& node);

  // Queues a frame. Thread-safe; may be called from the handler. Throws
  // FrameError if the frame would exceed 4 MiB.
  void Send(const NodeId& node, FrameKind kind, std::string body);
  // As Send(), for a reply: other processes of `receiver` drop the frame. The
  // send queue may outlive the process that made the request.
  void Reply(const PeerProcess& receiver, FrameKind kind, std::string body);

  // Drops all frames from (kIncoming) or to (kOutgoing) `node`. Used by tests
  // to simulate network partitions.
  void SetBlocked(const NodeId& node, Direction direction, bool blocked);

  PeerStats Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::peer

#endif  // GOOSEBERRYROCK_PEER_PEER_SOCKET_H_
