// Peer thread and send queues.

#include "gooseberryrock/peer/peer_socket.h"

#include <pthread.h>

#include <csignal>
#include <deque>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

#include <zmq.hpp>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/peer/peer_socket_error.h"

namespace gooseberryrock::peer {

namespace {

constexpr char kWakeEndpoint[] = "inproc://wake";
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 100;
// The kernel retransmits a SYN only after one second, so a new connection
// attempt reaches a restarted VM sooner. Six times the round-trip time between
// regions.
constexpr int kConnectTimeoutMs = 150;
// Maximum number of frames that ZeroMQ queues per connection and direction.
constexpr int kHighWaterMark = 256;
// Maximum number of frames received before the send queues are served again.
constexpr int kReceiveBatch = 64;
// Frames with a lower incarnation come from an ended process as long as frames
// of the known incarnation arrive. If none arrived for this time (three
// connection heartbeats), the sender restarted after its clock was set back.
constexpr Duration kIncarnationTimeout = std::chrono::milliseconds(1500);
// Exceeds the frame limit so that OpenFrame() can reject and count oversized
// frames. ZeroMQ closes the connection on larger messages.
constexpr int64_t kMaxMessageSize = 2 * static_cast<int64_t>(kMaxFrameSize);

int Milliseconds(Duration duration) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void SetCommonOptions(zmq::socket_t& socket, const PeerSocketOptions& options) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageSize);
  socket.set(zmq::sockopt::heartbeat_ivl,
             Milliseconds(options.heartbeat_interval));
  socket.set(zmq::sockopt::heartbeat_timeout,
             Milliseconds(options.heartbeat_timeout));
  socket.set(zmq::sockopt::heartbeat_ttl,
             Milliseconds(options.heartbeat_timeout));
}

std::string Endpoint(const PeerAddress& address) {
  const bool ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = ipv6 ? "[" + address.host + "]" : address.host;
  return "tcp://" + host + ":" +
         (address.port == 0 ? "*" : std::to_string(address.port));
}

// Send queue for one peer.
struct SendQueue {
  PeerAddress address;
  // The peer thread must connect to `address`.
  bool connect = true;
  bool remove = false;
  // Sequence number of the last queued frame.
  uint64_t sequence = 0;
  std::deque<std::string> frames;
  size_t bytes = 0;
};

// Receive state for one sender.
struct SenderState {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // Arrival time of the last frame of this incarnation.
  SteadyTime last_frame_at;
};

}  // namespace

struct PeerSocket::Impl {
  Impl(const PeerSocketOptions& socket_options, FrameHandler frame_handler)
      : options(socket_options),
        key(DeriveFrameKey(options.cluster_key)),
        expected{options.cluster, options.self.node, kProtocolVersion},
        on_frame(std::move(frame_handler)),
        router(context, zmq::socket_type::router),
        wake_receiver(context, zmq::socket_type::pair),
        wake_sender(context, zmq::socket_type::pair) {
    router.set(zmq::sockopt::ipv6, true);
    SetCommonOptions(router, options);
    wake_receiver.set(zmq::sockopt::linger, 0);
    wake_sender.set(zmq::sockopt::linger, 0);
    try {
      router.bind(Endpoint(options.self));
    } catch (const zmq::error_t& error) {
      throw PeerSocketError("cannot bind " + Endpoint(options.self) + ": " +
                            error.what());
    }
    const std::string bound = router.get(zmq::sockopt::last_endpoint);
    bound_port =
        static_cast<uint16_t>(std::stoi(bound.substr(bound.rfind(':') + 1)));
    wake_receiver.bind(kWakeEndpoint);
    wake_sender.connect(kWakeEndpoint);
    for (const PeerAddress& peer : options.peers) {
      send_queues[peer.node].address = peer;
    }
    // The thread takes ownership of the sockets.
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
      Wake();
    }
    thread.join();
  }

  // Wakes the peer thread to process the queues; `mutex` must be held, which
  // also serialises the use of `wake_sender`. At most one message is pending.
  void Wake() {
    if (!wake_pending) {
      wake_pending = true;
      wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
    }
  }

  void Run() {
    // Signals handled on this thread would interrupt ZeroMQ calls with EINTR.
    sigset_t signals;
    sigfillset(&signals);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    while (true) {
      {
        std::lock_guard lock(mutex);
        if (stopping) {
          break;
        }
        UpdateConnections();
        for (auto& [node, queue] : send_queues) {
          SendQueued(queue, dealers.at(node));
        }
        PreparePoll();
      }
      zmq::poll(poll_items, std::chrono::milliseconds(-1));
      ReceiveWakeUps();
      ReceiveFrames();
    }
    // Sockets must be closed on the thread that owns them.
    dealers.clear();
    router.close();
    wake_receiver.close();
  }

  // Opens connections to added peers and closes those to removed peers; `mutex`
  // must be held.
  void UpdateConnections() {
    for (auto it = send_queues.begin(); it != send_queues.end();) {
      SendQueue& queue = it->second;
      if (queue.remove) {
        dealers.erase(it->first);
        removed_sequences[it->first] = queue.sequence;
        it = send_queues.erase(it);
        continue;
      }
      if (queue.connect) {
        dealers.erase(it->first);
        dealers.emplace(it->first, Connect(queue.address));
        queue.connect = false;
      }
      ++it;
    }
  }

  zmq::socket_t Connect(const PeerAddress& address) {
    zmq::socket_t dealer(context, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::ipv6, true);
    SetCommonOptions(dealer, options);
    // While disconnected, frames stay in the bounded send queue instead of the
    // ZeroMQ queue.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    dealer.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    try {
      dealer.connect(Endpoint(address));
    } catch (const zmq::error_t&) {
      // Invalid address; frames to it are dropped once the send queue is full.
    }
    return dealer;
  }

  // Passes frames to ZeroMQ until it would block; `mutex` must be held.
  void SendQueued(SendQueue& queue, zmq::socket_t& dealer) {
    while (!queue.frames.empty()) {
      std::string& frame = queue.frames.front();
      if (!dealer.send(zmq::buffer(frame), zmq::send_flags::dontwait)) {
        return;
      }
      ++stats.sent_frames;
      stats.sent_bytes += frame.size();
      queue.bytes -= frame.size();
      queue.frames.pop_front();
    }
  }

  // Polls for frames, wake-ups, and writable sockets of peers with queued
  // frames; `mutex` must be held.
  void PreparePoll() {
    poll_items.clear();
    poll_items.push_back({wake_receiver.handle(), 0, ZMQ_POLLIN, 0});
    poll_items.push_back({router.handle(), 0, ZMQ_POLLIN, 0});
    for (auto& [node, queue] : send_queues) {
      if (!queue.frames.empty()) {
        poll_items.push_back({dealers.at(node).handle(), 0, ZMQ_POLLOUT, 0});
      }
    }
  }

  void ReceiveWakeUps() {
    zmq::message_t message;
    std::lock_guard lock(mutex);
    while (wake_receiver.recv(message, zmq::recv_flags::dontwait)) {
      wake_pending = false;
    }
  }

  void ReceiveFrames() {
    for (int n = 0; n < kReceiveBatch; ++n) {
      zmq::message_t routing_id;
      if (!router.recv(routing_id, zmq::recv_flags::dontwait)) {
        return;
      }
      zmq::message_t message;
      bool more = routing_id.more();
      size_t parts = 0;
      while (more) {
        std::ignore = router.recv(message, zmq::recv_flags::none);
        more = message.more();
        ++parts;
      }
      if (parts != 1) {
        CountRefused(FrameFault::kMalformed);
        continue;
      }
      OnMessage(message.to_string_view());
    }
  }

  void OnMessage(std::string_view bytes) {
    std::optional<PeerFrame> frame;
    try {
      frame = OpenFrame(bytes, key, expected);
    } catch (const FrameError& error) {
      CountRefused(error.fault());
      return;
    }
    if (!IsAcceptable(*frame, bytes.size())) {
      return;
    }
    try {
      on_frame(std::move(*frame));
    } catch (const std::exception&) {
      // A body that the handler cannot decode must not end the peer thread.
      std::lock_guard lock(mutex);
      ++stats.handler_errors;
    }
  }

  bool IsAcceptable(const PeerFrame& frame, size_t frame_size) {
    std::lock_guard lock(mutex);
    if (blocked_incoming.contains(frame.sender)) {
      ++stats.blocked;
      return false;
    }
    SenderState& sender = senders[frame.sender];
    const SteadyTime now = BootTime();
    if (frame.incarnation < sender.incarnation &&
        now - sender.last_frame_at < kIncarnationTimeout) {
      ++stats.stale_incarnation;
      return false;
    }
    if (frame.incarnation != sender.incarnation) {
      sender = {frame.incarnation, 0, now};
    }
    if (frame.sequence <= sender.sequence) {
      ++stats.replayed;
      return false;
    }
    sender.sequence = frame.sequence;
    sender.last_frame_at = now;
    if (frame.receiver_incarnation != 0 &&
        frame.receiver_incarnation != options.incarnation) {
      ++stats.stale_replies;
      return false;
    }
    ++stats.received_frames;
    stats.received_bytes += frame_size;
    return true;
  }

  void CountRefused(FrameFault fault) {
    std::lock_guard lock(mutex);
    ++stats.refused[static_cast<size_t>(fault)];
  }

  const PeerSocketOptions options;
  const FrameKey key;
  const FrameExpectations expected;
  const FrameHandler on_frame;
  uint16_t bound_port = 0;

  zmq::context_t context;
  // Owned by the peer thread, like the sockets and poll items below.
  zmq::socket_t router;
  zmq::socket_t wake_receiver;
  std::map<NodeId, zmq::socket_t> dealers;
  std::vector<zmq::pollitem_t> poll_items;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  zmq::socket_t wake_sender;
  bool wake_pending = false;
  bool stopping = false;
  std::map<NodeId, SendQueue> send_queues;
  // Last sequence numbers of removed peers. If a peer is added again, numbering
  // must continue, since the receiver drops lower numbers as replays.
  std::map<NodeId, uint64_t> removed_sequences;
  std::map<NodeId, SenderState> senders;
  std::set<NodeId> blocked_incoming;
  std::set<NodeId> blocked_outgoing;
  PeerStats stats;

  std::thread thread;
};

PeerSocket::PeerSocket(const PeerSocketOptions& options, FrameHandler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}

PeerSocket::~PeerSocket() = default;

uint16_t PeerSocket::port() const {
  return impl_->bound_port;
}

void PeerSocket::AddPeer(PeerAddress peer) {
  std::lock_guard lock(impl_->mutex);
  auto [it, added] = impl_->send_queues.try_emplace(peer.node);
  SendQueue& queue = it->second;
  if (auto removed = impl_->removed_sequences.extract(peer.node)) {
    queue.sequence = removed.mapped();
  }
  queue.address = std::move(peer);
  queue.connect = true;
  queue.remove = false;
  impl_->Wake();
}

void PeerSocket::RemovePeer(const NodeId& node) {
  std::lock_guard lock(impl_->mutex);
  auto it = impl_->send_queues.find(node);
  if (it != impl_->send_queues.end()) {
    it->second.remove = true;
    it->second.frames.clear();
    it->second.bytes = 0;
    impl_->Wake();
  }
}

void PeerSocket::Send(const NodeId& node, FrameKind kind, std::string body) {
  Reply({node, 0}, kind, std::move(body));
}

void PeerSocket::Reply(const PeerProcess& receiver,
                       FrameKind kind,
                       std::string body) {
  std::lock_guard lock(impl_->mutex);
  if (impl_->blocked_outgoing.contains(receiver.node)) {
    ++impl_->stats.blocked;
    return;
  }
  auto it = impl_->send_queues.find(receiver.node);
  if (it == impl_->send_queues.end() || it->second.remove) {
    ++impl_->stats.unknown_receiver;
    return;
  }
  SendQueue& queue = it->second;
  std::string frame = SealFrame(
      {impl_->options.cluster, kProtocolVersion, impl_->options.self.node,
       impl_->options.incarnation, queue.sequence + 1, receiver.node,
       receiver.incarnation, kind, std::move(body)},
      impl_->key);
  ++queue.sequence;
  queue.bytes += frame.size();
  queue.frames.push_back(std::move(frame));
  while (queue.frames.size() > impl_->options.max_queued_frames ||
         queue.bytes > impl_->options.max_queued_bytes) {
    queue.bytes -= queue.frames.front().size();
    queue.frames.pop_front();
    ++impl_->stats.queue_full;
  }
  impl_->Wake();
}

void PeerSocket::SetBlocked(const NodeId& node,
                            Direction direction,
                            bool blocked) {
  std::lock_guard lock(impl_->mutex);
  auto& nodes = direction == Direction::kIncoming ? impl_->blocked_incoming
                                                  : impl_->blocked_outgoing;
  if (blocked) {
    nodes.insert(node);
  } else {
    nodes.erase(node);
  }
}

PeerStats PeerSocket::Stats() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->stats;
}

}  // namespace gooseberryrock::peer
