// The peer thread and the queues that lead to it.

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
#include "gooseberryrock/peer/peer_socket_error.h"

namespace gooseberryrock::peer {

namespace {

constexpr char kWakeEndpoint[] = "inproc://wake";
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 100;
// A VM that is down does not answer, and the kernel asks again only after a
// second; a new attempt finds it sooner once it is back. Six times the round
// trip between today's regions.
constexpr int kConnectTimeoutMs = 150;
// Frames that ZeroMQ itself holds for each connection and direction.
constexpr int kHighWaterMark = 256;
// Frames received before the queues to the peers are served again.
constexpr int kReceiveBatch = 64;
// A sender of a lower incarnation is a process that has ended while frames of
// the known one arrive. When none has for this long, three heartbeats of a
// connection, it is one whose clock was set back before it started again.
constexpr Duration kIncarnationSilence = std::chrono::milliseconds(1500);
// Allowed over the frame size, so that a frame that is too large is counted by
// OpenFrame(); ZeroMQ closes the connection of a still larger one.
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

// What waits for one peer.
struct Outbox {
  PeerAddress address;
  // Whether the peer thread has to connect to `address`.
  bool connect = true;
  bool remove = false;
  // Sequence number of the last queued frame.
  uint64_t sequence = 0;
  std::deque<std::string> frames;
  size_t bytes = 0;
};

// What the peer thread knows of one sender.
struct Sender {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // When the last frame of the incarnation arrived.
  SteadyTime heard_at;
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
      outboxes[peer.node].address = peer;
    }
    // Starting the thread hands the sockets over to it.
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

  // Makes the peer thread look at the queues; `mutex` is held. The mutex also
  // gives `wake_sender` one user at a time. At most one message is under way.
  void Wake() {
    if (!wake_pending) {
      wake_pending = true;
      wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
    }
  }

  void Run() {
    // A signal that is handled on this thread would end a ZeroMQ call with
    // EINTR.
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
        for (auto& [node, outbox] : outboxes) {
          SendQueued(outbox, dealers.at(node));
        }
        PreparePoll();
      }
      zmq::poll(poll_items, std::chrono::milliseconds(-1));
      ReceiveWakes();
      ReceiveFrames();
    }
    // The sockets close here, on the thread that owns them.
    dealers.clear();
    router.close();
    wake_receiver.close();
  }

  // Opens and closes connections to peers that were added or removed; `mutex`
  // is held.
  void UpdateConnections() {
    for (auto it = outboxes.begin(); it != outboxes.end();) {
      Outbox& outbox = it->second;
      if (outbox.remove) {
        dealers.erase(it->first);
        removed_sequences[it->first] = outbox.sequence;
        it = outboxes.erase(it);
        continue;
      }
      if (outbox.connect) {
        dealers.erase(it->first);
        dealers.emplace(it->first, Connect(outbox.address));
        outbox.connect = false;
      }
      ++it;
    }
  }

  zmq::socket_t Connect(const PeerAddress& address) {
    zmq::socket_t dealer(context, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::ipv6, true);
    SetCommonOptions(dealer, options);
    // Frames wait in the bounded queue, not in ZeroMQ, while there is no
    // connection.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    dealer.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    try {
      dealer.connect(Endpoint(address));
    } catch (const zmq::error_t&) {
      // The address is not valid; the frames for it are dropped when its queue
      // is full.
    }
    return dealer;
  }

  // Hands frames to ZeroMQ until it takes no more; `mutex` is held.
  void SendQueued(Outbox& outbox, zmq::socket_t& dealer) {
    while (!outbox.frames.empty()) {
      std::string& frame = outbox.frames.front();
      if (!dealer.send(zmq::buffer(frame), zmq::send_flags::dontwait)) {
        return;
      }
      ++stats.sent_frames;
      stats.sent_bytes += frame.size();
      outbox.bytes -= frame.size();
      outbox.frames.pop_front();
    }
  }

  // Waits for frames, for a wake-up, and for peers whose queue is not empty;
  // `mutex` is held.
  void PreparePoll() {
    poll_items.clear();
    poll_items.push_back({wake_receiver.handle(), 0, ZMQ_POLLIN, 0});
    poll_items.push_back({router.handle(), 0, ZMQ_POLLIN, 0});
    for (auto& [node, outbox] : outboxes) {
      if (!outbox.frames.empty()) {
        poll_items.push_back({dealers.at(node).handle(), 0, ZMQ_POLLOUT, 0});
      }
    }
  }

  void ReceiveWakes() {
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
      // A body that the handler cannot read must not end the peer thread.
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
    Sender& sender = senders[frame.sender];
    const SteadyTime now = BootTime();
    if (frame.incarnation < sender.incarnation &&
        now - sender.heard_at < kIncarnationSilence) {
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
    sender.heard_at = now;
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
  // Owned by the peer thread, as are the sockets and the poll items below.
  zmq::socket_t router;
  zmq::socket_t wake_receiver;
  std::map<NodeId, zmq::socket_t> dealers;
  std::vector<zmq::pollitem_t> poll_items;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  zmq::socket_t wake_sender;
  bool wake_pending = false;
  bool stopping = false;
  std::map<NodeId, Outbox> outboxes;
  // Of peers that were removed: a peer that is added again knows the last
  // number and takes lower ones for replays.
  std::map<NodeId, uint64_t> removed_sequences;
  std::map<NodeId, Sender> senders;
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
  auto [it, added] = impl_->outboxes.try_emplace(peer.node);
  Outbox& outbox = it->second;
  if (auto removed = impl_->removed_sequences.extract(peer.node)) {
    outbox.sequence = removed.mapped();
  }
  outbox.address = std::move(peer);
  outbox.connect = true;
  outbox.remove = false;
  impl_->Wake();
}

void PeerSocket::RemovePeer(const NodeId& node) {
  std::lock_guard lock(impl_->mutex);
  auto it = impl_->outboxes.find(node);
  if (it != impl_->outboxes.end()) {
    it->second.remove = true;
    it->second.frames.clear();
    it->second.bytes = 0;
    impl_->Wake();
  }
}

void PeerSocket::Send(const NodeId& node, FrameKind kind, std::string body) {
  std::lock_guard lock(impl_->mutex);
  if (impl_->blocked_outgoing.contains(node)) {
    ++impl_->stats.blocked;
    return;
  }
  auto it = impl_->outboxes.find(node);
  if (it == impl_->outboxes.end() || it->second.remove) {
    ++impl_->stats.unknown_receiver;
    return;
  }
  Outbox& outbox = it->second;
  std::string frame =
      SealFrame({impl_->options.cluster, kProtocolVersion,
                 impl_->options.self.node, impl_->options.incarnation,
                 outbox.sequence + 1, node, kind, std::move(body)},
                impl_->key);
  ++outbox.sequence;
  outbox.bytes += frame.size();
  outbox.frames.push_back(std::move(frame));
  while (outbox.frames.size() > impl_->options.max_queued_frames ||
         outbox.bytes > impl_->options.max_queued_bytes) {
    outbox.bytes -= outbox.frames.front().size();
    outbox.frames.pop_front();
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
