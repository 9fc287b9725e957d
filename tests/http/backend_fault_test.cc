// Tests calls through a backend channel to servers that close connections,
// truncate replies or stop responding.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gooseberryrock/http/backend_channel.h"
#include "malformed_headers.h"
#include "raw_socket.h"

namespace gooseberryrock::http {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCallTime = std::chrono::seconds(2);

// A channel to one server that makes one call at a time.
class OneServerChannel {
 public:
  explicit OneServerChannel(uint16_t port, uint32_t max_connections = 4)
      : channel_(
            [this](BackendResult it) { result_.set_value(std::move(it)); }) {
    channel_.SetEndpoint({"s"}, {"127.0.0.1", port, max_connections});
  }

  BackendResult Call(bool at_most_once = false, Duration time = kCallTime) {
    result_ = {};
    auto future = result_.get_future();
    channel_.Send({++attempt_,
                   {"s"},
                   "/x",
                   "hello",
                   std::chrono::steady_clock::now() + time,
                   at_most_once});
    return future.get();
  }

 private:
  std::promise<BackendResult> result_;
  uint64_t attempt_ = 0;
  BackendChannel channel_;
};

// Reads the next call and answers preconnect requests, which are not calls.
// Empty when the peer closes.
std::string ReadCall(RawSocket& socket) {
  std::string request = socket.ReadRequest();
  while (request.starts_with("POST /v1/cancel")) {
    socket.Send(OkReply("{}"));
    request = socket.ReadRequest();
  }
  return request;
}

// Counts the calls, replies to the first `replies` and closes the connection
// after reading another.
struct ClosingScript {
  std::atomic<int>& requests;
  int replies;

  void operator()(RawSocket& socket, size_t /*number*/) const {
    while (!ReadCall(socket).empty()) {
      if (++requests > replies) {
        return;
      }
      socket.Send(OkReply("ok"));
    }
  }
};

// A reply that is cut, in its header too, must not count as a reply with an
// empty or short body.
TEST(BackendFaultTest, ReplyCutAtAnyByteIsLost) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 5\r\n\r\nabcde";
  for (size_t n = 0; n < text.size(); ++n) {
    RawServer server([&](RawSocket& socket, size_t) {
      if (!ReadCall(socket).empty()) {
        socket.Send(text.substr(0, n));
      }
    });
    OneServerChannel channel(server.port());
    EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind,
              BackendResultKind::kLost)
        << text.substr(0, n);
  }
}

// A resend by the HTTP client must be reported; otherwise the executions at the
// servers would not match the attempts.
TEST(BackendFaultTest, ReportsResendOnReusedConnection) {
  std::atomic<int> requests = 0;
  RawServer server([&](RawSocket& socket, size_t number) {
    while (!ReadCall(socket).empty()) {
      // The second request on the first connection is read but not answered.
      if (++requests == 2 && number == 0) {
        return;
      }
      socket.Send(OkReply("ok"));
    }
  });
  OneServerChannel channel(server.port());
  EXPECT_EQ(channel.Call().times_sent, 1U);
  const BackendResult second = channel.Call();
  EXPECT_EQ(second.kind, BackendResultKind::kReply);
  EXPECT_EQ(second.times_sent, 2U);
  EXPECT_EQ(requests, 3);
}

// A call that was sent and lost with its connection may have run, and must not
// be reported as not sent when the server then refuses a new connection.
TEST(BackendFaultTest, LostCallIsNotReportedAsNotSent) {
  std::promise<void> second_call;
  auto server = std::make_unique<RawServer>([&](RawSocket& socket, size_t) {
    ReadCall(socket);
    socket.Send(OkReply("ok"));
    if (!ReadCall(socket).empty()) {
      second_call.set_value();
      socket.ReadUntil("never", kCallTime);
    }
  });
  OneServerChannel channel(server->port(), /*max_connections=*/1);
  ASSERT_EQ(channel.Call().kind, BackendResultKind::kReply);
  auto call = std::async(std::launch::async, [&] { return channel.Call(); });
  second_call.get_future().wait();
  server.reset();
  EXPECT_EQ(call.get().kind, BackendResultKind::kLost);
}

// A non-idempotent call must not reach a server twice.
TEST(BackendFaultTest, AtMostOnceCallIsSentOnceAndLost) {
  std::atomic<int> requests = 0;
  RawServer server(ClosingScript{requests, 0});
  OneServerChannel channel(server.port());
  const BackendResult result = channel.Call(/*at_most_once=*/true);
  EXPECT_EQ(result.kind, BackendResultKind::kLost);
  EXPECT_EQ(result.times_sent, 1U);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(requests, 1);
}

// Preconnecting must not open one connection after another to a server that
// closes each of them.
TEST(BackendFaultTest, ClosingServerGetsNoConnectionStorm) {
  RawServer server(
      [](RawSocket& socket, size_t /*number*/) { socket.ReadRequest(); });
  constexpr uint32_t kConnections = 4;
  OneServerChannel channel(server.port(), kConnections);
  EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind, BackendResultKind::kLost);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_LE(server.connections(), kConnections);
}

// A non-idempotent call must not use an idle kept-alive connection, where the
// HTTP client resends by itself, even at the connection limit.
TEST(BackendFaultTest, AtMostOnceCallDoesNotReuseIdleConnection) {
  std::atomic<int> requests = 0;
  RawServer server(ClosingScript{requests, 1});
  OneServerChannel channel(server.port(), /*max_connections=*/1);
  EXPECT_EQ(channel.Call().kind, BackendResultKind::kReply);
  EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind, BackendResultKind::kLost);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(requests, 2);
  EXPECT_EQ(server.connections(), 2U);
}

// A truncated reply must not be reported as complete, including a chunked body
// without its last chunk.
TEST(BackendFaultTest, TruncatedRepliesAreLost) {
  const std::string chunked_header =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> replies = {
      "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half\":",
      chunked_header + "14\r\n{\"half\":",
      chunked_header + "8\r\n{\"half\":\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200"};
  for (const std::string& reply : replies) {
    SCOPED_TRACE(reply);
    RawServer server([&](RawSocket& socket, size_t /*number*/) {
      socket.ReadRequest();
      socket.Send(reply);
    });
    OneServerChannel channel(server.port());
    EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind,
              BackendResultKind::kLost);
  }
}

// Bytes that are not HTTP must not be reported as a reply.
TEST(BackendFaultTest, GarbageReplyIsLost) {
  RawServer server([](RawSocket& socket, size_t /*number*/) {
    socket.ReadRequest();
    socket.Send(std::string("\0\xff garbage\r\n\r\n", 14));
  });
  OneServerChannel channel(server.port());
  EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind, BackendResultKind::kLost);
}

// A reply whose header is not valid HTTP must not be reported as one, sent at
// once or byte by byte. The call may have run.
TEST(BackendFaultTest, MalformedHeadersAreLost) {
  for (const std::string& header : MalformedHeaders()) {
    for (const bool byte_by_byte : {false, true}) {
      RawServer server([&](RawSocket& socket, size_t /*number*/) {
        if (ReadCall(socket).empty()) {
          return;
        }
        const std::string reply = header + "Content-Length: 2\r\n\r\n{}";
        byte_by_byte ? socket.SendByteByByte(reply) : socket.Send(reply);
      });
      OneServerChannel channel(server.port());
      EXPECT_EQ(channel.Call(/*at_most_once=*/true).kind,
                BackendResultKind::kLost)
          << header;
    }
  }
}

// A server that stops responding must not hold a connection of the limit
// forever.
TEST(BackendFaultTest, CallPastDeadlineIsLostAndFreesItsConnection) {
  std::atomic<int> requests = 0;
  RawServer server([&](RawSocket& socket, size_t /*number*/) {
    // The connection of the first request never answers.
    bool answers = true;
    while (!ReadCall(socket).empty()) {
      answers = answers && requests++ > 0;
      if (answers) {
        socket.Send(OkReply("ok"));
      }
    }
  });
  OneServerChannel channel(server.port(), /*max_connections=*/1);
  BackendResult silent;
  Duration waited = Duration::zero();
  // On a busy machine the channel may take a call only after its deadline. Such
  // a call is not sent.
  for (int n = 0; n < 20 && silent.kind == BackendResultKind::kNotSent; ++n) {
    const auto start = std::chrono::steady_clock::now();
    silent = channel.Call(/*at_most_once=*/false, milliseconds(100));
    waited = std::chrono::steady_clock::now() - start;
  }
  EXPECT_EQ(silent.kind, BackendResultKind::kLost);
  EXPECT_GE(waited, milliseconds(100));
  // Counts from when the channel takes the call.
  EXPECT_LE(silent.elapsed, waited);
  EXPECT_LT(silent.elapsed, milliseconds(300));
  for (int n = 0; n < 5000 && requests == 0; ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_EQ(channel.Call().kind, BackendResultKind::kReply);
  // No call that was reported as not sent has reached the server.
  EXPECT_EQ(requests, 2);
}

}  // namespace
}  // namespace gooseberryrock::http
