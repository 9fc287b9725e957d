// Calls to the replicated log across restarts of the calling process.

#include "gooseberryrock/control/control_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "peer.pb.h"

namespace gooseberryrock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::unique_ptr<peer::PeerSocket> OpenSocket(
    const std::string& node,
    uint64_t incarnation,
    uint16_t port,
    peer::PeerSocket::FrameHandler handler) {
  peer::PeerSocketOptions options;
  options.cluster = "salon";
  options.cluster_key = "a cluster key";
  options.self = {{node}, "127.0.0.1", port};
  options.incarnation = incarnation;
  return std::make_unique<peer::PeerSocket>(options, std::move(handler));
}

// A control VM that receives calls and answers them when the test says so.
class Leader {
 public:
  explicit Leader(const std::string& node)
      : socket_(OpenSocket(node, 1, 0, [this](const peer::PeerFrame& it) {
          std::lock_guard lock(mutex_);
          calls_.push_back(it);
          changed_.notify_all();
        })) {}

  peer::PeerSocket& socket() { return *socket_; }

  // Returns the next received call; fails the test if none arrives.
  peer::PeerFrame NextCall() {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, seconds(5),
                           [this] { return !calls_.empty(); })) {
      ADD_FAILURE() << "no call arrived";
      return {};
    }
    peer::PeerFrame call = std::move(calls_.front());
    calls_.pop_front();
    return call;
  }

  // Answers a read with routes of `version`.
  void Answer(const peer::PeerFrame& call, uint64_t version) {
    proto::ForwardReply reply;
    reply.set_correlation_id(
        proto::Parse<proto::ForwardRequest>(call.body).correlation_id());
    reply.mutable_routes()->set_version(version);
    socket_->Reply({call.sender, call.incarnation},
                   peer::FrameKind::kForwardReply, reply.SerializeAsString());
  }

 private:
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::deque<peer::PeerFrame> calls_;
  std::condition_variable changed_;
  std::unique_ptr<peer::PeerSocket> socket_;
};

// A process that forwards calls to the leader.
struct CallingProcess {
  CallingProcess(uint64_t incarnation, uint16_t port)
      : socket(OpenSocket("caller",
                          incarnation,
                          port,
                          [this](const peer::PeerFrame& it) {
                            client.OnReplyFrame(it.body);
                          })) {}

  CallResult Read(Duration timeout) {
    proto::ForwardRequest call;
    call.mutable_read_routes();
    return client.Call(std::move(call), timeout);
  }

  ControlClient client{
      {{"caller"}, {{"leader"}}},
      /*log=*/nullptr,
      [this](const NodeId& to, const proto::ForwardRequest& it) {
        socket->Send(to, peer::FrameKind::kForwardRequest,
                     it.SerializeAsString());
      },
      [](const auto& /*to*/, const auto& /*reply*/) {},
      [](const auto& /*call*/) { return std::string(); }};
  std::unique_ptr<peer::PeerSocket> socket;
};

// Guards against a restarted node that takes the reply to a call of its earlier
// process, whose correlation ids are the same, for the reply to its own: it
// would read routes that were replaced long ago, or confirm a change that was
// not made.
TEST(ControlClientTest, IgnoresRepliesToEarlierProcess) {
  Leader leader("leader");
  const peer::PeerAddress leader_address = {
      {"leader"}, "127.0.0.1", leader.socket().port()};
  auto process = std::make_unique<CallingProcess>(1, 0);
  const uint16_t port = process->socket->port();
  process->socket->AddPeer(leader_address);
  EXPECT_EQ(process->Read(milliseconds(300)).status, CallStatus::kUnknown);
  const peer::PeerFrame first_call = leader.NextCall();
  process.reset();
  leader.socket().AddPeer({{"caller"}, "127.0.0.1", port});
  leader.Answer(first_call, 1);

  process = std::make_unique<CallingProcess>(2, port);
  process->socket->AddPeer(leader_address);
  auto read =
      std::async(std::launch::async, [&] { return process->Read(seconds(5)); });
  const peer::PeerFrame second_call = leader.NextCall();
  EXPECT_EQ(second_call.incarnation, 2U);
  // Long enough for the reply to the earlier process to arrive.
  EXPECT_EQ(read.wait_for(milliseconds(200)), std::future_status::timeout);
  leader.Answer(second_call, 2);
  const CallResult result = read.get();
  ASSERT_EQ(result.status, CallStatus::kDone);
  EXPECT_EQ(result.reply.routes().version(), 2U);
}

}  // namespace
}  // namespace gooseberryrock::control
