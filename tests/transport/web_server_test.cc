// Tests the HTTP server with callers that misbehave or disconnect.

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/web_server.h"
#include "raw_socket.h"

namespace gooseberryrock::transport {
namespace {

using http::Connect;
using http::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// Holds the requests until the test answers them.
class WebServerTest : public testing::Test {
 protected:
  WebServerTest() {
    WebLimits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 1000;
    limits.header_timeout = milliseconds(300);
    server_ = std::make_unique<WebServer>(
        std::vector<IoThread*>{&thread_}, Endpoint{"127.0.0.1", 0}, limits,
        [this](size_t, std::shared_ptr<Exchange> it) {
          AddPending(std::move(it));
        });
  }

  ~WebServerTest() override {
    thread_.Stop();
    pending_.clear();
  }

  void AddPending(std::shared_ptr<Exchange> exchange) {
    std::lock_guard lock(mutex_);
    exchange->OnCallerDisconnected([this] {
      std::lock_guard disconnected_lock(mutex_);
      ++disconnected_;
      changed_.notify_all();
    });
    pending_.push_back(std::move(exchange));
    changed_.notify_all();
  }

  bool WaitForRequests(size_t n) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, seconds(2),
                             [&] { return pending_.size() >= n; });
  }

  void AnswerAll() {
    std::lock_guard lock(mutex_);
    for (auto& it : pending_) {
      thread_.Post([it] {
        Response response(boost::beast::http::status::ok, 11);
        response.body() = it->request().body();
        it->Respond(std::move(response));
      });
    }
    pending_.clear();
  }

  std::string StatusOf(const std::string& request) {
    RawSocket socket(Connect(server_->port()));
    socket.Send(request);
    return socket.ReadUntil("\r\n\r\n", seconds(2)).substr(0, 12);
  }

  IoThread thread_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Exchange>> pending_;
  int disconnected_ = 0;
  std::unique_ptr<WebServer> server_;
};

// Guards against request smuggling, where two readers disagree about the end of
// a body and the second request bypasses the checks of the first reader.
TEST_F(WebServerTest, RefusesAmbiguousLength) {
  const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
  for (const std::string& fields :
       {std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
        std::string("Content-Length: 3\r\nContent-Length: 3\r\n"),
        std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
        std::string("Content-Length: -1\r\n"),
        std::string("Content-Length: 3, 4\r\n")}) {
    RawSocket socket(Connect(server_->port()));
    socket.Send(start + fields + "\r\n0\r\n\r\n");
    const std::string reply = socket.ReadUntil("never", seconds(1));
    EXPECT_EQ(reply.substr(0, 12), "HTTP/1.1 400") << fields;
    EXPECT_NE(reply.find("Connection: close"), std::string::npos) << fields;
  }
  EXPECT_TRUE(pending_.empty());
}

// Guards against input of unlimited size.
TEST_F(WebServerTest, LimitsHeaderAndBody) {
  EXPECT_EQ(StatusOf("GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n\r\n"),
            "HTTP/1.1 431");
  EXPECT_EQ(StatusOf("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a')),
            "HTTP/1.1 431");
  EXPECT_EQ(StatusOf("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"),
            "HTTP/1.1 413");
  EXPECT_EQ(StatusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "7d0\r\n" +
                     std::string(2000, 'a') + "\r\n"),
            "HTTP/1.1 413");
  EXPECT_EQ(StatusOf("no http at all\r\n\r\n"), "HTTP/1.1 400");
}

// Guards against a caller that holds a connection open with an incomplete
// header.
// Guards against a body whose framing never ends and that fills the memory:
// only the data of a chunk counts towards the limit of the body.
TEST_F(WebServerTest, EndlessChunkFramingIsRefused) {
  constexpr size_t kMaxSent = size_t{32} << 20U;
  const std::string block(4096, '0');
  for (const char* start : {"", "5;x=", "0\r\nX: "}) {
    RawSocket socket(Connect(server_->port()));
    socket.Send(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    socket.Send(start);
    size_t sent = 0;
    while (sent < kMaxSent && socket.Send(block)) {
      sent += block.size();
    }
    EXPECT_LT(sent, kMaxSent) << start;
  }
  EXPECT_FALSE(WaitForRequests(1));
}

TEST_F(WebServerTest, SlowHeaderTimesOut) {
  RawSocket socket(Connect(server_->port()));
  socket.Send("GET / HTTP/1.1\r\nHost: a");
  const SteadyTime start = std::chrono::steady_clock::now();
  socket.ReadUntil("never", seconds(3));
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(2));
}

// Guards against continuing work for a caller that has disconnected.
TEST_F(WebServerTest, ReportsCallerDisconnect) {
  {
    RawSocket socket(Connect(server_->port()));
    socket.Send(kGet);
    ASSERT_TRUE(WaitForRequests(1));
  }
  std::unique_lock lock(mutex_);
  EXPECT_TRUE(
      changed_.wait_for(lock, seconds(2), [&] { return disconnected_ == 1; }));
}

// Guards against running a request whose connection ended before it was read,
// for example while the process was suspended: its sender has given it up.
TEST_F(WebServerTest, RequestOfAClosedConnectionIsNotRun) {
  {
    RawSocket socket(Connect(server_->port()));
    std::mutex busy;
    busy.lock();
    thread_.Post([&busy] { std::lock_guard wait(busy); });
    socket.Send(kGet);
    ASSERT_EQ(shutdown(socket.fd(), SHUT_WR), 0);
    busy.unlock();
    EXPECT_EQ(socket.ReadUntil("never", seconds(2)), "");
  }
  std::lock_guard lock(mutex_);
  EXPECT_TRUE(pending_.empty());
}

// Guards against an acknowledgement that a caller takes for the response.
TEST_F(WebServerTest, AcknowledgesBeforeTheResponse) {
  RawSocket socket(Connect(server_->port()));
  socket.Send(kGet);
  ASSERT_TRUE(WaitForRequests(1));
  thread_.Post([it = pending_.front()] { it->Acknowledge("X: y\r\n"); });
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n", seconds(2)),
            "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n");
  AnswerAll();
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n", seconds(2)).substr(0, 12),
            "HTTP/1.1 200");
}

// Guards against losing pipelined requests or answering them out of order.
TEST_F(WebServerTest, AnswersPipelinedRequestsInOrder) {
  RawSocket socket(Connect(server_->port()));
  const std::string post = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
  socket.Send(post + "a" + post + "b");
  ASSERT_TRUE(WaitForRequests(1));
  AnswerAll();
  EXPECT_EQ(socket.ReadUntil("\r\n\r\na", seconds(2)).back(), 'a');
  ASSERT_TRUE(WaitForRequests(1));
  AnswerAll();
  EXPECT_EQ(socket.ReadUntil("\r\n\r\nb", seconds(2)).back(), 'b');
}

// Guards against bodies that stop and keep their memory until the time limit.
TEST_F(WebServerTest, SlowBodyIsRefused) {
  WebLimits limits;
  limits.min_rate = {milliseconds(100), 1000};
  server_->SetLimits(limits);
  EXPECT_EQ(
      StatusOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1"),
      "HTTP/1.1 408");
  EXPECT_TRUE(pending_.empty());
}

// Guards against answers that are kept for callers who do not read them.
TEST_F(WebServerTest, AnswerThatIsNotReadIsGivenUp) {
  WebLimits limits;
  limits.min_rate = {milliseconds(100), size_t{1} << 30U};
  server_->SetLimits(limits);
  RawSocket caller(Connect(server_->port()));
  caller.Send(kGet);
  ASSERT_TRUE(WaitForRequests(1));
  {
    std::lock_guard lock(mutex_);
    pending_.front()->request().body().assign(size_t{64} << 20U, 'x');
  }
  AnswerAll();
  for (int i = 0; i < 40 && server_->OpenConnections() > 0; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_EQ(server_->OpenConnections(), 0U);
}

// Guards against a full account that refuses the caller who comes last instead
// of the one who holds the most for its age.
TEST_F(WebServerTest, FullAccountRefusesTheHeaviestRequest) {
  WebLimits limits;
  limits.held_bytes = size_t{200} << 10U;
  server_->SetLimits(limits);
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
  RawSocket first(Connect(server_->port()));
  first.Send(head + std::string(99999, 'x'));
  RawSocket second(Connect(server_->port()));
  // Does not start before the first one is accounted for.
  EXPECT_EQ(first.ReadUntil("\r\n\r\n", milliseconds(200)), "");
  second.Send(head + std::string(100000, 'x'));
  EXPECT_EQ(first.ReadUntil("\r\n\r\n", seconds(2)).substr(0, 12),
            "HTTP/1.1 503");
  ASSERT_TRUE(WaitForRequests(1));
  AnswerAll();
  EXPECT_EQ(second.ReadUntil("\r\n\r\n", seconds(2)).substr(0, 12),
            "HTTP/1.1 200");
  EXPECT_EQ(server_->ConnectionsRefused(), 1U);
}

// Guards against idle connections that keep out new callers.
TEST_F(WebServerTest, LongestIdleConnectionIsClosedForANewOne) {
  WebLimits limits;
  limits.connections = {2, 0};
  server_->SetLimits(limits);
  RawSocket oldest(Connect(server_->port()));
  EXPECT_EQ(oldest.ReadUntil("never", milliseconds(50)), "");
  RawSocket second(Connect(server_->port()));
  EXPECT_EQ(second.ReadUntil("never", milliseconds(50)), "");
  RawSocket third(Connect(server_->port()));
  third.Send(kGet);
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(server_->ConnectionsEvicted(), 1U);
  EXPECT_EQ(server_->OpenConnections(), 2U);
  char byte = 0;
  EXPECT_EQ(recv(oldest.fd(), &byte, 1, 0), 0);
  AnswerAll();
}

// Guards against a graceful shutdown that drops a request whose bytes have
// arrived but were not read yet.
TEST_F(WebServerTest, StopWaitsForRequestsThatHaveArrived) {
  for (int round = 0; round < 20; ++round) {
    RawSocket socket(Connect(server_->port()));
    socket.Send(kGet);
    ASSERT_TRUE(WaitForRequests(1));
    AnswerAll();
    ASSERT_FALSE(socket.ReadUntil("\r\n\r\n", seconds(2)).empty());
    // The thread is blocked while the next request arrives and the shutdown
    // begins.
    std::mutex busy;
    busy.lock();
    thread_.Post([&busy] { std::lock_guard wait(busy); });
    socket.Send(kGet);
    if (round == 19) {
      server_->StartDraining();
      server_->StopAccepting();
    }
    EXPECT_GT(server_->OpenConnections(), 0U);
    busy.unlock();
    ASSERT_TRUE(WaitForRequests(1));
    EXPECT_GT(server_->OpenConnections(), 0U);
    AnswerAll();
    const std::string reply = socket.ReadUntil("\r\n\r\n", seconds(2));
    EXPECT_EQ(reply.substr(0, 12), "HTTP/1.1 200");
  }
}

}  // namespace
}  // namespace gooseberryrock::transport
