// Tests blocking calls to servers that close connections, truncate replies or
// stop responding.

#include "gooseberryrock/http/http_call.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "gooseberryrock/http/http_error.h"
#include "malformed_headers.h"
#include "raw_socket.h"

namespace gooseberryrock::http {
namespace {

HttpCall CallTo(uint16_t port) {
  HttpCall call;
  call.host = "127.0.0.1";
  call.port = port;
  call.path = "/";
  call.body = "hello";
  call.timeout = std::chrono::milliseconds(300);
  return call;
}

// The client must not resend a request by itself.
TEST(HttpCallTest, DoesNotResendWhenTheServerCloses) {
  std::atomic<int> requests = 0;
  RawServer server([&](RawSocket& socket, size_t /*number*/) {
    requests += socket.ReadRequest().empty() ? 0 : 1;
  });
  EXPECT_THROW(Execute(CallTo(server.port())), HttpError);
  EXPECT_EQ(requests, 1);
}

// A truncated reply must not be returned as complete.
TEST(HttpCallTest, ThrowsOnTruncatedReply) {
  for (const std::string reply :
       {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nhalf\r\n"}) {
    SCOPED_TRACE(reply);
    RawServer server([&](RawSocket& socket, size_t /*number*/) {
      socket.ReadRequest();
      socket.Send(reply);
    });
    EXPECT_THROW(Execute(CallTo(server.port())), HttpError);
  }
}

// A reply whose header or trailer is not valid HTTP must not be returned:
// gbrctl would report an outcome that no node has sent.
TEST(HttpCallTest, ThrowsOnMalformedReply) {
  std::vector<std::string> replies;
  for (const std::string& header : MalformedHeaders()) {
    replies.push_back(header + "Content-Length: 2\r\n\r\n{}");
  }
  for (const std::string field :
       {"X Y: a\r\n", "X: a\r\n b\r\n", "Content-Length: 2\r\n"}) {
    replies.push_back(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\n{}\r\n0\r\n" +
        field + "\r\n");
  }
  for (const std::string& reply : replies) {
    for (const bool byte_by_byte : {false, true}) {
      RawServer server([&](RawSocket& socket, size_t /*number*/) {
        socket.ReadRequest();
        byte_by_byte ? socket.SendByteByByte(reply) : socket.Send(reply);
      });
      EXPECT_THROW(Execute(CallTo(server.port())), HttpError) << reply;
    }
  }
}

// A field of a trailer must not replace one of the header.
TEST(HttpCallTest, IgnoresFieldsOfTrailer) {
  RawServer server([&](RawSocket& socket, size_t /*number*/) {
    socket.ReadRequest();
    socket.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\nContent-Type: text/plain\r\n\r\n");
  });
  const HttpReply reply = Execute(CallTo(server.port()));
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "hello");
  EXPECT_EQ(reply.content_type, HttpReply().content_type);
}

// A host may be a name, as in the node lists of gbrload and the stand-in
// server.
TEST(HttpCallTest, ResolvesNames) {
  std::atomic<int> requests = 0;
  RawServer server([&](RawSocket& socket, size_t) {
    requests += socket.ReadRequest().empty() ? 0 : 1;
    socket.Send(OkReply("hello"));
  });
  HttpCall call = CallTo(server.port());
  call.host = "localhost";
  EXPECT_EQ(Execute(call).body, "hello");
  EXPECT_EQ(requests, 1);
  call.host = "no such host";
  EXPECT_THROW(Execute(call), HttpError);
}

// A field that cannot be encoded must be reported like any other failed call.
TEST(HttpCallTest, ThrowsOnLongField) {
  RawServer server([](RawSocket& socket, size_t) { socket.ReadRequest(); });
  HttpCall call = CallTo(server.port());
  call.headers["X"] = std::string(70000, 'a');
  EXPECT_THROW(Execute(call), HttpError);
  EXPECT_EQ(server.connections(), 0U);
}

// A call must not exceed its timeout, before the header or within the body.
TEST(HttpCallTest, ObservesTimeout) {
  for (const std::string reply :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"}) {
    SCOPED_TRACE(reply);
    RawServer server([&](RawSocket& socket, size_t /*number*/) {
      socket.ReadRequest();
      socket.Send(reply);
      socket.ReadUntil("never", std::chrono::seconds(3));
    });
    const SteadyTime begun = std::chrono::steady_clock::now();
    EXPECT_THROW(Execute(CallTo(server.port())), HttpError);
    EXPECT_LT(std::chrono::steady_clock::now() - begun,
              std::chrono::milliseconds(900));
  }
}

}  // namespace
}  // namespace gooseberryrock::http
