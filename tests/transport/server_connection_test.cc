// Tests connections to misbehaving servers.

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/server_connection.h"
#include "raw_socket.h"
#include "server_caller.h"

namespace gooseberryrock::transport {
namespace {

using http::RawServer;
using http::RawSocket;
using std::chrono::seconds;

constexpr size_t kMaxBody = 10000;
// More than the socket buffers of both ends hold.
constexpr size_t kMaxSent = size_t{32} << 20U;

class ServerConnectionTest : public testing::Test {
 protected:
  // Returns the reply to one request on a new connection.
  Reply Call(const RawServer& server) {
    return caller_.Call(server.port(), kMaxBody);
  }

  Reply CallServerThatSends(const std::string& text) {
    RawServer server([&text](RawSocket& socket, size_t) {
      socket.ReadUntil("\r\n\r\n", seconds(1));
      socket.Send(text);
      socket.ReadUntil("never", std::chrono::milliseconds(50));
    });
    return Call(server);
  }

  ServerCaller caller_;
};

// Guards against treating a truncated reply as complete.
TEST_F(ServerConnectionTest, TruncatedRepliesAreLost) {
  for (const std::string& text :
       {std::string(), std::string("HTTP/1.1 200 OK\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nabcde\r\n")}) {
    EXPECT_EQ(CallServerThatSends(text).status, ReplyStatus::kConnectionLost)
        << text;
  }
}

// Guards against a reply that is cut anywhere, in the middle of its header too,
// and that a caller would get with an empty or short body as if it were whole.
TEST_F(ServerConnectionTest, RepliesCutAtAnyByteAreNotComplete) {
  const std::string header = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n";
  for (const std::string& text :
       {header + "Content-Length: 12\r\n\r\nabcdefghijkl",
        header + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        // Without a length only the header shows whether the reply is whole.
        header + "Server: x\r\n\r\n"}) {
    for (size_t n = 0; n < text.size(); ++n) {
      RawServer server([&](RawSocket& socket, size_t) {
        socket.ReadUntil("\r\n\r\n", seconds(1));
        socket.Send(text.substr(0, n));
      });
      EXPECT_NE(Call(server).status, ReplyStatus::kComplete)
          << text.substr(0, n);
    }
  }
}

// Guards against a reply without a length that is taken as whole although its
// connection was reset.
TEST_F(ServerConnectionTest, ResetReplyWithoutLengthIsLost) {
  RawServer server([](RawSocket& socket, size_t) {
    socket.ReadUntil("\r\n\r\n", seconds(1));
    socket.Send("HTTP/1.1 200 OK\r\n\r\nabc");
    socket.ReadUntil("never", std::chrono::milliseconds(50));
    // Dissolving the association resets the connection.
    sockaddr none = {};
    none.sa_family = AF_UNSPEC;
    EXPECT_EQ(::connect(socket.fd(), &none, sizeof(none)), 0);
  });
  EXPECT_EQ(Call(server).status, ReplyStatus::kConnectionLost);
}

// Guards against bytes without end that are no reply: they would be read, and
// kept in memory, until the caller closes the connection.
TEST_F(ServerConnectionTest, EndlessRepliesAreRefused) {
  struct Case {
    std::string start;
    std::string repeated;
    // Sends both in one call, so that the reader has bytes of the body when it
    // parses the header.
    bool together = false;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(4096, 'a');
  for (const Case& it :
       std::vector<Case>{{"", bytes},
                         {"HTTP/1.1 200 ", bytes},
                         {"", "\r\n"},
                         {"", ok.substr(0, 8)},
                         {ok + "X: ", bytes},
                         {ok, "X: y\r\n"},
                         {ok + "Content-Length: 1000000000000\r\n\r\n", bytes},
                         {ok + "Content-Length: 1000000000000\r\n\r\n", bytes,
                          /*together=*/true},
                         {ok + "Content-Length: 100000000\r\n\r\n", bytes,
                          /*together=*/true},
                         {ok + "\r\n", bytes},
                         {chunked, "5\r\nabcde\r\n"},
                         {chunked + "ffffffffff\r\n", bytes},
                         {chunked, std::string(4096, '0')},
                         {chunked + "5;x=", bytes},
                         {chunked + "0\r\n", "X: y\r\n"},
                         {chunked + "0\r\nX: ", bytes}}) {
    std::atomic<size_t> sent = 0;
    std::string block;
    while (block.size() < 4096) {
      block += it.repeated;
    }
    {
      RawServer server([&](RawSocket& socket, size_t) {
        socket.ReadUntil("\r\n\r\n", seconds(1));
        if (socket.Send(it.together ? it.start + block : it.start)) {
          while (sent < kMaxSent && socket.Send(block)) {
            sent += block.size();
          }
        }
        socket.ReadUntil("never", seconds(1));
      });
      const Reply reply = Call(server);
      EXPECT_EQ(reply.status, ReplyStatus::kMalformed)
          << it.start << " / " << it.repeated.substr(0, 30);
      caller_.Close();
    }
    EXPECT_LT(sent, kMaxSent) << it.start << it.repeated.substr(0, 30);
  }
}

// Guards against a long field in a trailer, on which the parser throws.
TEST_F(ServerConnectionTest, LongTrailersAreRefused) {
  for (const size_t size : {1000, 70000, 300000}) {
    EXPECT_EQ(CallServerThatSends(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\nX: " +
                  std::string(size, 'a') + "\r\n\r\n")
                  .status,
              size == 1000 ? ReplyStatus::kComplete : ReplyStatus::kMalformed)
        << size;
  }
}

// Guards against an interim reply that is taken as the reply or not reported,
// and against interim replies without end.
TEST_F(ServerConnectionTest, InterimRepliesAreSkipped) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const Reply reply =
      CallServerThatSends(interim + "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" +
                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde");
  EXPECT_EQ(reply.status, ReplyStatus::kComplete);
  EXPECT_EQ(reply.response.result_int(), 200U);
  EXPECT_EQ(reply.response.body(), "abcde");
  EXPECT_TRUE(reply.reusable);
  EXPECT_EQ(caller_.interim_fields(), (std::vector<std::string>{"", "y"}));
  std::string endless;
  for (int n = 0; n < 100; ++n) {
    endless += interim;
  }
  EXPECT_EQ(CallServerThatSends(endless).status, ReplyStatus::kMalformed);
  EXPECT_EQ(CallServerThatSends(interim).status, ReplyStatus::kConnectionLost);
  // The request asks for no other protocol.
  EXPECT_EQ(
      CallServerThatSends("HTTP/1.1 101 Switching Protocols\r\n\r\n").status,
      ReplyStatus::kMalformed);
}

// Guards against rejecting complete replies.
TEST_F(ServerConnectionTest, CompleteRepliesAreRead) {
  const Reply length =
      CallServerThatSends("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde");
  EXPECT_EQ(length.status, ReplyStatus::kComplete);
  EXPECT_EQ(length.response.body(), "abcde");
  EXPECT_TRUE(length.reusable);
  const Reply chunked = CallServerThatSends(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nabcde\r\n0\r\n\r\n");
  EXPECT_EQ(chunked.response.body(), "abcde");
  EXPECT_TRUE(chunked.reusable);
  const Reply unframed = CallServerThatSends("HTTP/1.1 200 OK\r\n\r\nabcde");
  EXPECT_EQ(unframed.status, ReplyStatus::kComplete);
  EXPECT_EQ(unframed.response.body(), "abcde");
  EXPECT_FALSE(unframed.reusable);
}

// Guards against treating bytes after a reply as the next reply.
TEST_F(ServerConnectionTest, ConnectionWithUnreadDataIsNotReused) {
  const Reply reply = CallServerThatSends(
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
  EXPECT_EQ(reply.status, ReplyStatus::kComplete);
  EXPECT_FALSE(reply.reusable);
  EXPECT_FALSE(CallServerThatSends("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                   "Content-Length: 1\r\n\r\na")
                   .reusable);
}

// Guards against accepting data that is not a reply, and replies of unlimited
// size.
TEST_F(ServerConnectionTest, MalformedAndOversizedRepliesAreRefused) {
  EXPECT_EQ(CallServerThatSends("garbage\r\n\r\n").status,
            ReplyStatus::kMalformed);
  EXPECT_EQ(CallServerThatSends("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n"
                                "\r\n" +
                                std::string(20000, 'a'))
                .status,
            ReplyStatus::kMalformed);
}

// Guards against resending a request automatically.
TEST_F(ServerConnectionTest, NeverResends) {
  std::atomic<int> requests = 0;
  RawServer server([&requests](RawSocket& socket, size_t) {
    if (!socket.ReadUntil("\r\n\r\n", seconds(1)).empty()) {
      ++requests;
    }
  });
  EXPECT_EQ(Call(server).status, ReplyStatus::kConnectionLost);
  EXPECT_EQ(requests, 1);
}

// Guards against a request that reaches its server after it was given up. Bytes
// that a partition holds up would be delivered when it ends, and the server
// would run a request that another one has run meanwhile.
TEST(ServerConnectionCloseTest, BytesNotDeliveredYetAreDiscarded) {
  std::promise<void> closed;
  std::promise<ssize_t> last_read;
  RawServer server([&](RawSocket& socket, size_t) {
    // As behind a partition, the bytes wait at the sender.
    closed.get_future().wait();
    std::vector<char> buf(size_t{1} << 20U);
    ssize_t n = 0;
    do {
      n = ::recv(socket.fd(), buf.data(), buf.size(), 0);
    } while (n > 0);
    last_read.set_value(n);
  });
  boost::asio::io_context context;
  auto connection = std::make_shared<ServerConnection>(context);
  bool connected = false;
  connection->Connect({"127.0.0.1", server.port()}, seconds(1),
                      [&](bool success) { connected = success; });
  context.run_for(std::chrono::milliseconds(200));
  ASSERT_TRUE(connected);
  Request request(boost::beast::http::verb::post, "/", 11);
  request.body() = std::string(kMaxSent, 'x');
  request.prepare_payload();
  connection->Send(std::move(request), kMaxBody,
                   [](const Reply&) { ADD_FAILURE(); });
  context.restart();
  context.run_for(std::chrono::milliseconds(200));
  connection->Close();
  closed.set_value();
  EXPECT_EQ(last_read.get_future().get(), -1) << "the connection was not reset";
}

}  // namespace
}  // namespace gooseberryrock::transport
