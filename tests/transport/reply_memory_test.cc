// Tests the limit on the memory of replies.

#include "gooseberryrock/transport/reply_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/memory_reservation.h"
#include "gooseberryrock/transport/server_connection.h"
#include "gooseberryrock/transport/web_server.h"
#include "raw_socket.h"

namespace gooseberryrock::transport {
namespace {

using http::RawServer;
using http::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kLimit = size_t{4} << 20U;
constexpr size_t kMaxBody = size_t{8} << 20U;

// Guards against giving up the reply of another holder than the one that takes
// the most memory, and against memory that stays accounted for.
TEST(ReplyMemoryTest, LargestHolderLosesItsReply) {
  ReplyMemory memory(1000);
  std::vector<std::string> given_up;
  const auto start = [&](MemoryReservation& reservation,
                         const std::string& holder, const std::string& name,
                         size_t bytes) {
    reservation.Start(&memory, holder,
                      [&given_up, name] { given_up.push_back(name); });
    return reservation.Resize(bytes);
  };
  MemoryReservation first;
  MemoryReservation second;
  MemoryReservation other;
  EXPECT_TRUE(start(first, "a", "first", 400));
  EXPECT_TRUE(start(second, "a", "second", 200));
  EXPECT_TRUE(start(other, "b", "other", 350));
  EXPECT_TRUE(given_up.empty());
  EXPECT_TRUE(other.Resize(500));
  EXPECT_EQ(given_up, std::vector<std::string>{"first"});
  EXPECT_EQ(memory.used(), 700U);
  EXPECT_FALSE(other.Resize(900));
  EXPECT_EQ(given_up, (std::vector<std::string>{"first", "other"}));
  EXPECT_EQ(memory.used(), 200U);
  second.End();
  EXPECT_EQ(memory.used(), 0U);
  EXPECT_EQ(memory.given_up(), 2U);
}

// Connections to servers, used on one thread with one limit.
class LimitedCaller {
 public:
  ~LimitedCaller() { thread_.Stop(); }

  // Makes one call to a server on 127.0.0.1.
  std::future<Reply> Call(const std::string& holder, uint16_t port) {
    auto promise = std::make_shared<std::promise<Reply>>();
    thread_.Post([this, holder, port, promise] {
      auto connection = std::make_shared<ServerConnection>(thread_.context(),
                                                           memory_, holder);
      connections_.push_back(connection);
      connection->Connect(
          {"127.0.0.1", port}, seconds(2),
          [connection = connection.get(), promise](bool) {
            connection->Send(
                Request(boost::beast::http::verb::get, "/", 11), kMaxBody,
                [promise](Reply it) { promise->set_value(std::move(it)); });
          });
    });
    return promise->get_future();
  }

  const ReplyMemory& memory() const { return memory_; }

 private:
  ReplyMemory memory_{kLimit};
  IoThread thread_;
  // Used on the thread.
  std::vector<std::shared_ptr<ServerConnection>> connections_;
};

// Sends `start`, then `repeated` again and again, at most `n` times, and keeps
// the connection open.
RawServer::Script SendRepeatedly(const std::string& start,
                                 const std::string& repeated,
                                 size_t n) {
  return [=](RawSocket& socket, size_t) {
    socket.ReadUntil("\r\n\r\n", seconds(2));
    bool open = socket.Send(start);
    for (size_t i = 0; i < n && open; ++i) {
      open = socket.Send(repeated);
    }
    if (open) {
      socket.ReadUntil("never", seconds(5));
    }
  };
}

// Guards against replies without end, and replies that stop below their limit,
// which together fill the memory, and against sound replies that are lost with
// them.
TEST(ReplyMemoryTest, RepliesTogetherAreBounded) {
  const std::string bytes(size_t{64} << 10U, 'a');
  constexpr size_t kEndless = 1000000;
  // 16 KiB less than the limit of a reply.
  constexpr size_t kAlmost = 127;
  const RawServer::Script scripts[] = {
      SendRepeatedly("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "10000\r\n" + bytes + "\r\n", kEndless),
      SendRepeatedly("HTTP/1.1 200 OK\r\n\r\n", bytes, kEndless),
      SendRepeatedly("HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n",
                     bytes, kAlmost)};
  RawServer sound([&](RawSocket& socket, size_t) {
    socket.ReadUntil("\r\n\r\n", seconds(2));
    socket.Send(http::OkReply(bytes + bytes + bytes));
    socket.ReadUntil("never", seconds(1));
  });
  for (const auto& script : scripts) {
    RawServer endless(script);
    LimitedCaller caller;
    constexpr int kCalls = 32;
    std::vector<std::future<Reply>> replies;
    replies.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      replies.push_back(caller.Call("endless", endless.port()));
    }
    size_t max_used = 0;
    for (int i = 0; i < 20; ++i) {
      auto reply = caller.Call("sound", sound.port());
      ASSERT_EQ(reply.wait_for(seconds(5)), std::future_status::ready);
      EXPECT_EQ(reply.get().status, ReplyStatus::kComplete);
      max_used = std::max(max_used, caller.memory().used());
    }
    EXPECT_LE(max_used, kLimit);
    EXPECT_GT(caller.memory().given_up(), 0U);
  }
}

// Guards against responses to callers that do not read them, which together
// fill the memory, and against callers that read and lose theirs.
TEST(ReplyMemoryTest, UnreadResponsesTogetherAreBounded) {
  // More than the socket buffers of both ends hold.
  constexpr size_t kBytes = size_t{16} << 20U;
  const std::string end = "the end";
  ReplyMemory memory(3 * kBytes);
  IoThread thread;
  WebServer server({&thread}, {"127.0.0.1", 0}, WebLimits(),
                   [&](size_t, const std::shared_ptr<Exchange>& exchange) {
                     Response response(boost::beast::http::status::ok, 11);
                     response.body() =
                         std::string(kBytes - end.size(), 'a') + end;
                     exchange->Respond(std::move(response));
                   },
                   {&memory});
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::unique_ptr<RawSocket>> slow;
  for (int i = 0; i < 8; ++i) {
    slow.push_back(std::make_unique<RawSocket>(http::Connect(server.port())));
    slow.back()->Send(request);
  }
  for (int i = 0; i < 3; ++i) {
    RawSocket socket(http::Connect(server.port()));
    socket.Send(request);
    EXPECT_GE(socket.ReadUntil(end, seconds(10)).size(), kBytes);
    EXPECT_LE(memory.used(), 3 * kBytes);
  }
  EXPECT_GT(memory.given_up(), 0U);
  thread.Stop();
}

}  // namespace
}  // namespace gooseberryrock::transport
