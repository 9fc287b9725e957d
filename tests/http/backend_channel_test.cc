// Tests calls through a backend channel to an HTTP server.

#include "gooseberryrock/http/backend_channel.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

#include "gooseberryrock/http/http_server.h"

namespace gooseberryrock::http {
namespace {

constexpr uint16_t kPort = 17901;

SteadyTime After(Duration time) {
  return std::chrono::steady_clock::now() + time;
}

// A reply body must not be lost or truncated by the asynchronous client.
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

// A refused connection must not be reported as a lost request.
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

// A server that replies after 600 ms, and a channel to it with one connection.
class SlowServerTest : public testing::Test {
 protected:
  BackendCall Call(uint64_t attempt) const {
    BackendCall call{attempt, {"s"}, "/x", "", After(std::chrono::seconds(2))};
    call.window = 2;
    return call;
  }

  BackendResult Wait(std::promise<BackendResult>& result) {
    auto future = result.get_future();
    if (future.wait_for(std::chrono::seconds(3)) != std::future_status::ready) {
      ADD_FAILURE() << "no result";
      return {};
    }
    return future.get();
  }

  std::atomic<bool> seen_ = false;
  // Set when the first request reaches the server.
  std::promise<void> arrived_;
  HttpServer server_{{"127.0.0.1", kPort + 1, 4}, [this](const HttpRequest&) {
                       if (!seen_.exchange(true)) {
                         arrived_.set_value();
                       }
                       std::this_thread::sleep_for(
                           std::chrono::milliseconds(600));
                       return HttpReply{200, "text/plain", "late"};
                     }};
  std::promise<BackendResult> first_;
  std::promise<BackendResult> second_;
  BackendChannel channel_{[this](BackendResult it) {
    (it.attempt == 1 ? first_ : second_).set_value(std::move(it));
  }};
};

// An attempt must not wait for its deadline on a connection that has stopped
// responding.
TEST_F(SlowServerTest, SilentConnectionIsReplaced) {
  channel_.SetEndpoint({"s"}, {"127.0.0.1", kPort + 1, 1});
  BackendCall call = Call(1);
  call.silence_timeout = std::chrono::milliseconds(50);
  channel_.Send(std::move(call));
  const BackendResult got = Wait(first_);
  EXPECT_EQ(got.kind, BackendResultKind::kSilent);
  EXPECT_LT(got.elapsed, std::chrono::milliseconds(500));
}

// Queued calls must not be sent to a draining server.
TEST_F(SlowServerTest, QueuedCallsOfDrainingServerAreNotSent) {
  channel_.SetEndpoint({"s"}, {"127.0.0.1", kPort + 1, 1});
  channel_.Send(Call(1));
  ASSERT_EQ(arrived_.get_future().wait_for(std::chrono::seconds(3)),
            std::future_status::ready);
  channel_.Send(Call(2));
  channel_.RejectQueued({"s"});
  EXPECT_EQ(Wait(second_).kind, BackendResultKind::kNotSent);
  EXPECT_EQ(Wait(first_).kind, BackendResultKind::kReply);
}

}  // namespace
}  // namespace gooseberryrock::http
