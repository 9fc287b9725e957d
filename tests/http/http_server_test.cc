// Tests the HTTP server with oversized, excessive or incomplete requests.

#include "gooseberryrock/http/http_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <list>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "raw_socket.h"

namespace gooseberryrock::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;
using testing::StartsWith;

class HttpServerTest : public testing::Test {
 protected:
  void Start(HttpServer::Handler handler, unsigned threads = 8) {
    server_ = std::make_unique<HttpServer>(
        HttpServerOptions{"127.0.0.1", port_, threads}, std::move(handler));
  }

  void StartEcho() {
    Start([](const HttpRequest& request) {
      if (request.body_too_large) {
        return HttpReply{413, "text/plain", "too large"};
      }
      return HttpReply{200, "text/plain", request.body};
    });
  }

  HttpReply Call(std::string body) const {
    HttpCall call;
    call.host = "127.0.0.1";
    call.port = port_;
    call.path = "/";
    call.body = std::move(body);
    return Execute(call);
  }

  const uint16_t port_ = FreePort();
  std::unique_ptr<HttpServer> server_;
};

// The body limit must be exact, and a body above it must not be kept.
TEST_F(HttpServerTest, MarksBodyOverTheLimit) {
  StartEcho();
  EXPECT_EQ(Call(std::string(65536, 'x')).body.size(), 65536U);
  EXPECT_EQ(Call(std::string(65537, 'x')).status, 413);
  EXPECT_EQ(Call(std::string(size_t{4} << 20, 'x')).status, 413);
}

// A header above the limit must not terminate the process, be passed on
// truncated, or be refused without a reason.
TEST_F(HttpServerTest, SurvivesLargeHeader) {
  StartEcho();
  for (const size_t size : {4000U, 4096U, 5000U, 100000U}) {
    RawSocket socket(Connect(port_));
    socket.Send("GET / HTTP/1.1\r\nX: " + std::string(size, 'h') + "\r\n\r\n");
    const std::string reply = socket.ReadUntil("\r\n\r\n", seconds(2));
    EXPECT_EQ(reply.substr(0, 12),
              size < (size_t{16} << 10U) ? "HTTP/1.1 200" : "HTTP/1.1 431");
    EXPECT_EQ(Call("x").status, 200);
  }
}

// No connection may be lost when more connections than the listen backlog are
// opened at once.
TEST_F(HttpServerTest, ServesManyConnectionsOpenedAtOnce) {
  StartEcho();
  std::list<std::future<int>> statuses;
  for (int i = 0; i < 200; ++i) {
    statuses.push_back(
        std::async(std::launch::async, [this] { return Call("x").status; }));
  }
  for (auto& status : statuses) {
    EXPECT_EQ(status.get(), 200);
  }
}

// Callers that send slowly must not occupy all threads.
TEST_F(HttpServerTest, SlowCallersDoNotOccupyThreads) {
  StartEcho();
  std::list<RawSocket> slow;
  for (int i = 0; i < 60; ++i) {
    RawSocket& socket = slow.emplace_back(Connect(port_));
    socket.Send(i % 2 == 0 ? "GET / HTTP/1.1\r\nX: a"
                           : "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab");
  }
  const SteadyTime begun = std::chrono::steady_clock::now();
  EXPECT_EQ(Call("x").status, 200);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, seconds(2));
}

// An exception in a handler must not terminate the process or leave the caller
// without a reply.
TEST_F(HttpServerTest, ExceptionBecomesReply500) {
  Start([](const HttpRequest& request) -> HttpReply {
    if (request.body == "throw") {
      throw std::runtime_error("secret detail");
    }
    if (request.body == "throw int") {
      throw 1;
    }
    return {};
  });
  const HttpReply reply = Call("throw");
  EXPECT_EQ(reply.status, 500);
  EXPECT_THAT(reply.body, testing::Not(HasSubstr("secret")));
  EXPECT_EQ(Call("throw int").status, 500);
  EXPECT_EQ(Call("x").status, 200);
}

// Shutdown must not truncate a reply.
TEST_F(HttpServerTest, ShutdownLetsRequestInFlightFinish) {
  std::promise<void> entered;
  Start([&](const HttpRequest&) {
    entered.set_value();
    std::this_thread::sleep_for(milliseconds(300));
    return HttpReply{200, "text/plain", "whole reply"};
  });
  auto reply = std::async(std::launch::async, [this] { return Call("x"); });
  entered.get_future().wait();
  server_.reset();
  EXPECT_EQ(reply.get().body, "whole reply");
  EXPECT_THROW(Call("x"), HttpError);
}

// Bytes that are not HTTP must not terminate the process.
TEST_F(HttpServerTest, SurvivesGarbage) {
  StartEcho();
  std::string bytes;
  for (int i = 0; i < 1024; ++i) {
    bytes += static_cast<char>(i * 7);
  }
  for (const std::string& text :
       {bytes, std::string("\r\n\r\n"), std::string("GET"),
        std::string("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        std::string("GET /%zz%00?%ff HTTP/1.1\r\n\r\n")}) {
    RawSocket socket(Connect(port_));
    socket.Send(text);
    socket.ReadUntil("\r\n\r\n", milliseconds(100));
    EXPECT_EQ(Call("x").status, 200);
  }
}

}  // namespace
}  // namespace gooseberryrock::http
