// Frame exchange between sockets on the loopback interface.

#include "gooseberryrock/peer/peer_socket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/peer/peer_socket_error.h"

namespace gooseberryrock::peer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Collects the bodies of received frames.
class Inbox {
 public:
  void Add(const PeerFrame& frame) {
    std::lock_guard lock(mutex_);
    bodies_.push_back(frame.body);
    changed_.notify_all();
  }

  // Waits up to 2 s until `body` was received. Returns whether it was.
  bool WaitFor(const std::string& body) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, seconds(2), [&] {
      return std::find(bodies_.begin(), bodies_.end(), body) != bodies_.end();
    });
  }

  std::vector<std::string> Bodies() {
    std::lock_guard lock(mutex_);
    return bodies_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> bodies_;
};

std::unique_ptr<PeerSocket> Open(const std::string& node,
                                 uint64_t incarnation,
                                 Inbox& inbox,
                                 uint16_t port = 0) {
  PeerSocketOptions options;
  options.cluster = "salon";
  options.cluster_key = "a cluster key";
  options.self = {{node}, "127.0.0.1", port};
  options.incarnation = incarnation;
  options.max_queued_frames = 8;
  return std::make_unique<PeerSocket>(
      options, [&inbox](const PeerFrame& frame) { inbox.Add(frame); });
}

class PeerSocketTest : public testing::Test {
 protected:
  void Send(const std::string& body) {
    a_->Send({"b"}, FrameKind::kConsensus, body);
  }

  Inbox inbox_a_;
  Inbox inbox_b_;
  std::unique_ptr<PeerSocket> a_ = Open("a", 5, inbox_a_);
  std::unique_ptr<PeerSocket> b_ = Open("b", 5, inbox_b_);
  const PeerAddress address_b_{{"b"}, "127.0.0.1", b_->port()};
};

// Guards against frames that are dropped as replays after a peer was removed
// and added again, for example when an entry node switches to another control
// VM and back.
TEST_F(PeerSocketTest, PeerIsAddedAgain) {
  a_->AddPeer(address_b_);
  Send("first");
  ASSERT_TRUE(inbox_b_.WaitFor("first"));
  a_->RemovePeer({"b"});
  Send("dropped");
  std::this_thread::sleep_for(milliseconds(50));
  a_->AddPeer(address_b_);
  Send("second");
  EXPECT_TRUE(inbox_b_.WaitFor("second"));
  EXPECT_EQ(inbox_b_.Bodies(), (std::vector<std::string>{"first", "second"}));
  EXPECT_EQ(b_->Stats().replayed, 0U);
}

TEST_F(PeerSocketTest, DeliversInOrderAndReplies) {
  a_->AddPeer(address_b_);
  b_->AddPeer({{"a"}, "127.0.0.1", a_->port()});
  for (int i = 0; i < 5; ++i) {
    Send(std::to_string(i));
  }
  ASSERT_TRUE(inbox_b_.WaitFor("4"));
  EXPECT_EQ(inbox_b_.Bodies(),
            (std::vector<std::string>{"0", "1", "2", "3", "4"}));
  b_->Send({"a"}, FrameKind::kConsensus, "reply");
  EXPECT_TRUE(inbox_a_.WaitFor("reply"));
}

// Guards against unbounded queues for unreachable peers, and against dropping
// the newest frames instead of the oldest.
TEST_F(PeerSocketTest, FullQueueDropsOldest) {
  b_.reset();
  a_->AddPeer(address_b_);
  for (int i = 0; i < 20; ++i) {
    Send(std::to_string(i));
  }
  EXPECT_EQ(a_->Stats().queue_full, 12U);
  b_ = Open("b", 6, inbox_b_, address_b_.port);
  ASSERT_TRUE(inbox_b_.WaitFor("19"));
  EXPECT_EQ(inbox_b_.Bodies().size(), 8U);
}

// Guards against delayed frames from a process that has since restarted.
TEST_F(PeerSocketTest, DropsFramesOfEarlierIncarnation) {
  Inbox unused;
  auto late = Open("a", 4, unused);
  late->AddPeer(address_b_);
  a_->AddPeer(address_b_);
  Send("new");
  ASSERT_TRUE(inbox_b_.WaitFor("new"));
  late->Send({"b"}, FrameKind::kConsensus, "old");
  for (int n = 0; n < 200 && b_->Stats().stale_incarnation == 0; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(b_->Stats().stale_incarnation, 1U);
  EXPECT_EQ(inbox_b_.Bodies(), std::vector<std::string>{"new"});
}

// Guards against a reply to an ended process that stays in the send queue of
// its peer and is received by the next process of the node.
TEST_F(PeerSocketTest, DropsRepliesToEarlierProcess) {
  b_.reset();
  a_->AddPeer(address_b_);
  a_->Reply({{"b"}, 5}, FrameKind::kForwardReply, "to the ended process");
  a_->Reply({{"b"}, 6}, FrameKind::kForwardReply, "to the new process");
  b_ = Open("b", 6, inbox_b_, address_b_.port);
  ASSERT_TRUE(inbox_b_.WaitFor("to the new process"));
  EXPECT_EQ(inbox_b_.Bodies(), std::vector<std::string>{"to the new process"});
  EXPECT_EQ(b_->Stats().stale_replies, 1U);
}

// Guards against permanent rejection of a node whose incarnation is lower after
// a restart because its clock was set back.
TEST_F(PeerSocketTest, AcceptsRestartAfterTheClockWasSetBack) {
  a_->AddPeer(address_b_);
  Send("1");
  ASSERT_TRUE(inbox_b_.WaitFor("1"));
  a_.reset();
  std::this_thread::sleep_for(milliseconds(1600));
  a_ = Open("a", 2, inbox_a_);
  a_->AddPeer(address_b_);
  Send("2");
  EXPECT_TRUE(inbox_b_.WaitFor("2"));
}

// Guards against SetBlocked() failing in one of the directions.
TEST_F(PeerSocketTest, BlocksEachDirectionAtRunTime) {
  a_->AddPeer(address_b_);
  a_->SetBlocked({"b"}, Direction::kOutgoing, true);
  Send("1");
  a_->SetBlocked({"b"}, Direction::kOutgoing, false);
  Send("2");
  ASSERT_TRUE(inbox_b_.WaitFor("2"));
  b_->SetBlocked({"a"}, Direction::kIncoming, true);
  Send("3");
  for (int n = 0; n < 200 && b_->Stats().blocked == 0; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  b_->SetBlocked({"a"}, Direction::kIncoming, false);
  Send("4");
  ASSERT_TRUE(inbox_b_.WaitFor("4"));
  EXPECT_EQ(inbox_b_.Bodies(), (std::vector<std::string>{"2", "4"}));
}

// Guards against a shutdown that blocks on an unreachable peer.
TEST_F(PeerSocketTest, StopsPromptlyWithUnreachablePeer) {
  b_.reset();
  a_->AddPeer(address_b_);
  Send("x");
  const SteadyTime start = std::chrono::steady_clock::now();
  a_.reset();
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(500));
}

TEST_F(PeerSocketTest, AddressInUseIsAnError) {
  EXPECT_THROW(Open("c", 1, inbox_a_, b_->port()), PeerSocketError);
}

}  // namespace
}  // namespace gooseberryrock::peer
