// Tests the memory of an entry node whose servers send replies without end,
// with control VMs and entry nodes as processes.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "raw_socket.h"
#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace beast_http = boost::beast::http;
using http::RawServer;
using http::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Memory of the smallest VM of a deployment.
constexpr size_t kVmBytes = size_t{160} << 20U;
constexpr int kCallers = 64;
// The service of the route /one/, and a shard of the route /all/.
constexpr size_t kSingle = 3;
constexpr size_t kShard = 0;

class TierMemoryTest : public testing::Test {
 protected:
  explicit TierMemoryTest(TierOptions options = {})
      : cluster_(
            testing::TempDir() + "tier-memory-" +
                testing::UnitTest::GetInstance()->current_test_info()->name(),
            std::move(options)) {}

  void SetUp() override {
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  // From now on the servers of the service send `start`, then `n` times 64 KiB,
  // and keep the connection open.
  void StartStreaming(size_t service, const std::string& start, size_t n) {
    for (size_t i = 0; i < kServersPerService; ++i) {
      servers_.push_back(
          std::make_unique<RawServer>([=](RawSocket& socket, size_t) {
            const std::string bytes(size_t{64} << 10U, 'z');
            bool open = !socket.ReadRequest().empty() && socket.Send(start);
            for (size_t j = 0; j < n && open; ++j) {
              open = socket.Send(bytes);
            }
            if (open) {
              socket.ReadUntil("never", seconds(5));
            }
          }));
      cluster_.AnnounceAt(service, i, servers_.back()->port());
    }
    // The entry nodes hear of the new processes within a second.
    std::this_thread::sleep_for(milliseconds(1500));
  }

  // Sends requests for `target` from many callers for a few seconds, and others
  // beside them. Returns how many of the others had a complete answer.
  int CountSoundAnswers(const std::string& target, const std::string& other) {
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        while (!stop) {
          cluster_.SendRequest(entry_, "POST", target);
        }
      });
    }
    int sound = 0;
    for (int i = 0; i < kSoundRequests; ++i) {
      std::this_thread::sleep_for(milliseconds(200));
      const auto reply = cluster_.SendRequest(entry_, "POST", other);
      sound += reply && reply->result() == beast_http::status::ok &&
                       (*reply)["X-Missing-Parts"] != "1"
                   ? 1
                   : 0;
    }
    stop = true;
    for (std::thread& it : callers) {
      it.join();
    }
    return sound;
  }

  // Expects that most of the sound requests were answered and that no entry
  // node has taken more memory than a VM has.
  void ExpectBounded(int sound) {
    EXPECT_GE(sound, kSoundRequests - 1);
    for (size_t i = 0; i < kEntryNodes; ++i) {
      EXPECT_LT(cluster_.Entry(i).PeakMemory(), kVmBytes);
      EXPECT_TRUE(cluster_.Entry(i).running());
    }
  }

  static constexpr int kSoundRequests = 15;

  TierCluster cluster_;
  // The entry node that the callers use.
  size_t entry_ = 0;
  std::vector<std::unique_ptr<RawServer>> servers_;
};

// The first entry node gathers for the second one, which the callers use.
class GatherMemoryTest : public TierMemoryTest {
 protected:
  GatherMemoryTest()
      : TierMemoryTest(
            {/*connection_limit=*/3, /*servers_in_first_domain=*/true}) {
    entry_ = 1;
  }
};

// Guards against replies without end that together take more memory than the VM
// has, and against requests of other services that are lost with them.
TEST_F(TierMemoryTest, BodiesWithoutEndAreBoundedTogether) {
  StartStreaming(kSingle, "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n",
                 1000000);
  ExpectBounded(CountSoundAnswers("/one/x", "/all/x"));
}

// The same for replies that stop below the limit of one reply.
TEST_F(TierMemoryTest, BodiesThatStopAreBoundedTogether) {
  StartStreaming(kSingle,
                 "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                 "Content-Length: 8388608\r\n\r\n",
                 127);
  ExpectBounded(CountSoundAnswers("/one/x", "/all/x"));
}

// The same for a shard of a gathered request, whose other parts are answered.
TEST_F(TierMemoryTest, PartsWithoutEndAreBoundedTogether) {
  StartStreaming(kShard, "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n",
                 1000000);
  ExpectBounded(CountSoundAnswers("/all/x", "/one/x"));
}

// The same for parts that are complete.
TEST_F(TierMemoryTest, LargePartsAreBoundedTogether) {
  StartStreaming(kShard,
                 "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                 "Content-Length: 8323072\r\n\r\n",
                 127);
  ExpectBounded(CountSoundAnswers("/all/x", "/one/x"));
}

// The same for parts that one entry node gathers for another.
TEST_F(GatherMemoryTest, LargePartsAreBoundedTogether) {
  StartStreaming(kShard,
                 "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                 "Content-Length: 8323072\r\n\r\n",
                 127);
  ExpectBounded(CountSoundAnswers("/all/x", "/one/x"));
}

}  // namespace
}  // namespace gooseberryrock::process_test
