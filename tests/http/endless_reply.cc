// A call through a backend channel to a server that sends bytes without end.

#include "endless_reply.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>

#include "gooseberryrock/http/backend_channel.h"
#include "raw_socket.h"

namespace gooseberryrock::http {

namespace {

constexpr Duration kCallTime = std::chrono::seconds(2);

}  // namespace

size_t BytesTaken(const std::string& start, const std::string& repeated) {
  std::atomic<size_t> sent = 0;
  RawServer server([&](RawSocket& socket, size_t) {
    socket.ReadRequest();
    bool taken = socket.Send(start);
    while (taken && sent < kMaxSent) {
      taken = socket.Send(repeated);
      sent += repeated.size();
    }
    socket.ReadUntil("never", std::chrono::seconds(3));
  });
  std::promise<BackendResult> result;
  BackendChannel channel(
      [&result](BackendResult it) { result.set_value(std::move(it)); });
  channel.SetEndpoint({"s"}, {"127.0.0.1", server.port(), 1});
  channel.Send({1,
                {"s"},
                "/x",
                "hello",
                std::chrono::steady_clock::now() + kCallTime,
                /*at_most_once=*/true});
  EXPECT_NE(result.get_future().get().kind, BackendResultKind::kReply);
  return sent;
}

}  // namespace gooseberryrock::http
