// Tests blocking calls to servers that close connections, truncate replies or
// stop responding.

#include "gooseberryrock/http/http_call.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>

#include "gooseberryrock/http/http_error.h"
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
