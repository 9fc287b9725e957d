// Calls over a backend channel against an HTTP server.

#include "gooseberryrock/http/backend_channel.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>

#include "gooseberryrock/http/http_server.h"

namespace gooseberryrock::http {
namespace {

constexpr uint16_t kPort = 17901;

SteadyTime After(Duration time) {
  return std::chrono::steady_clock::now() + time;
}

// Guards against a reply body that is lost or cut on the asynchronous path.
TEST(BackendChannelTest, ReturnsWholeReply) {
  HttpServer server({"127.0.0.1", kPort, 4}, [](const HttpRequest& request) {
    return HttpReply{200, "text/plain", "echo " + request.body};
  });
  std::promise<BackendResult> result;
  BackendChannel channel(
      [&](BackendResult it) { result.set_value(std::move(it)); });
  channel.SetEndpoint({"s"}, {"127.0.0.1", kPort, 1});
  channel.Send({7, {"s"}, "/x", "hello", After(std::chrono::seconds(2))});
  auto future = result.get_future();
  ASSERT_EQ(future.wait_for(std::chrono::seconds(3)),
            std::future_status::ready);
  const BackendResult got = future.get();
  EXPECT_EQ(got.kind, BackendResultKind::kReply);
  EXPECT_EQ(got.attempt, 7U);
  EXPECT_EQ(got.http_status, 200);
  EXPECT_EQ(got.body, "echo hello");
}

// Guards against a refused connection that is taken for a lost request.
TEST(BackendChannelTest, RefusedConnectionIsNotSent) {
  std::promise<BackendResult> result;
  BackendChannel channel(
      [&](BackendResult it) { result.set_value(std::move(it)); });
  channel.SetEndpoint({"s"}, {"127.0.0.1", 1, 1});
  channel.Send({7, {"s"}, "/x", "hello", After(std::chrono::seconds(2))});
  auto future = result.get_future();
  ASSERT_EQ(future.wait_for(std::chrono::seconds(3)),
            std::future_status::ready);
  EXPECT_EQ(future.get().kind, BackendResultKind::kNotSent);
}

}  // namespace
}  // namespace gooseberryrock::http
