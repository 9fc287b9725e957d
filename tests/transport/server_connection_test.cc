// Tests connections to misbehaving servers.

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/server_connection.h"
#include "raw_socket.h"

namespace gooseberryrock::transport {
namespace {

using http::RawServer;
using http::RawSocket;
using std::chrono::seconds;

constexpr size_t kMaxBody = 10000;

class ServerConnectionTest : public testing::Test {
 protected:
  // Returns the reply to one request on a new connection.
  Reply Call(const RawServer& server) {
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    thread_.Post([this, &server, promise] {
      connection_ = std::make_shared<ServerConnection>(thread_.context());
      connection_->Connect(
          {"127.0.0.1", server.port()}, seconds(1),
          [this, promise](bool connected) {
            ASSERT_TRUE(connected);
            Request request(boost::beast::http::verb::get, "/", 11);
            connection_->Send(
                std::move(request), kMaxBody,
                [promise](Reply it) { promise->set_value(std::move(it)); });
          });
    });
    EXPECT_EQ(future.wait_for(seconds(3)), std::future_status::ready);
    return future.get();
  }

  Reply CallServerThatSends(const std::string& text) {
    RawServer server([&text](RawSocket& socket, size_t) {
      socket.ReadUntil("\r\n\r\n", seconds(1));
      socket.Send(text);
      socket.ReadUntil("never", std::chrono::milliseconds(50));
    });
    return Call(server);
  }

  // Declared first so that it outlives the connection, which uses its I/O
  // context.
  IoThread thread_;
  std::shared_ptr<ServerConnection> connection_;
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

}  // namespace
}  // namespace gooseberryrock::transport
