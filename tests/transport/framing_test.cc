// Tests how requests and replies are delimited: a peer that finds another end
// of a body would take part of it for a message of its own.

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/server_connection.h"
#include "gooseberryrock/transport/web_server.h"
#include "raw_socket.h"
#include "server_caller.h"
#include "strict_reader.h"

namespace gooseberryrock::transport {
namespace {

using http::Connect;
using http::RawServer;
using http::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends the text as a whole, or byte by byte.
enum class Pace { kWhole, kSingleBytes };

void SendAt(RawSocket& socket, const std::string& text, Pace pace) {
  if (pace == Pace::kWhole) {
    socket.Send(text);
    return;
  }
  for (const char it : text) {
    if (!socket.Send(std::string(1, it))) {
      return;
    }
  }
}

size_t Count(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

class RequestFramingTest : public testing::Test {
 protected:
  RequestFramingTest() {
    WebLimits limits;
    limits.header_timeout = milliseconds(300);
    limits.body_timeout = milliseconds(300);
    server_ = std::make_unique<WebServer>(
        std::vector<IoThread*>{&thread_}, Endpoint{"127.0.0.1", 0}, limits,
        [this](size_t, const std::shared_ptr<Exchange>& it) {
          ++requests_;
          it->Respond(Response(boost::beast::http::status::ok, 11));
        });
  }

  ~RequestFramingTest() override { thread_.Stop(); }

  // Returns all bytes that the server sends until it closes the connection.
  // Fails the test if it does not.
  std::string SendUntilClosed(const std::string& text, Pace pace) {
    RawSocket socket(Connect(server_->port()));
    SendAt(socket, text, pace);
    const auto start = std::chrono::steady_clock::now();
    std::string reply = socket.ReadUntil("never", seconds(5));
    EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(4))
        << "the connection stays open";
    return reply;
  }

  IoThread thread_;
  std::atomic<int> requests_ = 0;
  std::unique_ptr<WebServer> server_;
};

struct RequestCase {
  std::string header;
  std::string body;
  std::string status;
};

// Guards against a request whose end is not certain: what follows it would be
// run as a request of its own, which no caller sent.
TEST_F(RequestFramingTest, UncertainLengthEndsTheConnection) {
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n";
  const std::vector<RequestCase> cases = {
      {post + "Transfer-Encoding: xchunked\r\n", inner, "400"},
      {post + "Transfer-Encoding: gzip\r\n", inner, "400"},
      {post + "Transfer-Encoding: chunked, gzip\r\n", inner, "400"},
      {post + "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n", "400"},
      {post + "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n", "501"},
      {post + "Transfer-Encoding: identity\r\n", inner, "400"},
      {post + "Transfer-Encoding: \"chunked\"\r\n", inner, "400"},
      {post + "Transfer-Encoding:\r\n", inner, "400"},
      {post + "Transfer-Encoding: chunked;q=1\r\n", inner, "400"},
      {"POST / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n"
       "Transfer-Encoding: chunked\r\n",
       "0\r\n\r\n", "400"},
      {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       "0\r\n\r\n", "400"},
      {post + "Content-Length: 5\r\nContent-Length: 5\r\n", "abcde", "400"},
      {post + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
       "0\r\n\r\n", "400"},
      {post + "Content-Length: 21, 5\r\n", inner, "400"},
      {post + "Content-Length: 5,5\r\n", "abcde", "400"},
      {post + "Content-Length: +5\r\n", "abcde", "400"},
      {post + "Content-Length: -1\r\n", inner, "400"},
      {post + "Content-Length: 0x5\r\n", "abcde", "400"},
      {post + "Content-Length: 5 5\r\n", "abcde", "400"},
      {post + "Content-Length:\r\n", inner, "400"},
      {post + "Content-Length: 99999999999999999999\r\n", inner, "400"},
      {post + "Content-Length : 5\r\n", "abcde", "400"},
      {post + "Content-Length: 5\n", "abcde", "400"},
      {"TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n", "abcde", "400"},
      {chunked, "-1\r\na\r\n0\r\n\r\n", "400"},
      {chunked, "+1\r\na\r\n0\r\n\r\n", "400"},
      {chunked, " 1\r\na\r\n0\r\n\r\n", "400"},
      {chunked, "0x1\r\na\r\n0\r\n\r\n", "400"},
      {chunked, "10000000000000001\r\na\r\n0\r\n\r\n", "400"},
      {chunked, "1\r\nab\r\n0\r\n\r\n", "400"},
      {chunked, "1\na\n0\n\n", "400"},
      {chunked, "\r\n" + inner, "400"},
      {chunked, "1;x\"\r\na\r\n0\r\n\r\n", "400"},
      {chunked, "0\r\nno colon\r\n\r\n", "400"},
      {chunked, "0\r\nX : y\r\n\r\n", "400"},
      {chunked, "0\r\nContent-Length: 5\r\n\r\n", "400"},
      {chunked, "0\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
  };
  for (const RequestCase& it : cases) {
    for (const Pace pace : {Pace::kWhole, Pace::kSingleBytes}) {
      const std::string reply =
          SendUntilClosed(it.header + "\r\n" + it.body + inner, pace);
      EXPECT_EQ(reply.substr(0, 12), "HTTP/1.1 " + it.status)
          << it.header << "\n"
          << it.body;
      EXPECT_EQ(Count(reply, "HTTP/1.1 "), 1U) << it.header << "\n" << it.body;
      EXPECT_EQ(Count(reply, "Connection: close"), 1U) << it.header;
    }
  }
  EXPECT_EQ(requests_, 0);
}

// Guards against a long field, on which the parser throws: one request would
// end the process. The limit of the header does not bound trailers, and may be
// higher than what the parser can store.
TEST(RequestFieldTest, LongFieldsAreRefused) {
  IoThread thread;
  std::atomic<int> requests = 0;
  WebLimits limits;
  limits.header_bytes = size_t{1} << 20U;
  WebServer server({&thread}, Endpoint{"127.0.0.1", 0}, limits,
                   [&](size_t, const std::shared_ptr<Exchange>& it) {
                     ++requests;
                     it->Respond(Response(boost::beast::http::status::ok, 11));
                   });
  for (const size_t size : {70000, 200000}) {
    const std::string bytes(size, 'a');
    for (const std::string& text :
         {"GET /" + bytes + " HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\n" + bytes + ": y\r\n\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\nX: " + bytes + "\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\nX: " +
              bytes + "\r\n\r\n"}) {
      RawSocket socket(Connect(server.port()));
      socket.Send(text);
      EXPECT_EQ(socket.ReadUntil("never", seconds(4)).substr(0, 12),
                "HTTP/1.1 431")
          << text.substr(0, 80);
    }
  }
  EXPECT_EQ(requests, 0);
  thread.Stop();
}

// Guards against a reply whose end is not certain and that is taken as whole,
// or whose rest becomes the reply to the next request.
TEST(ReplyFramingTest, UncertainLengthIsMalformed) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> replies = {
      ok + "Transfer-Encoding: xchunked\r\n\r\nabc",
      ok + "Transfer-Encoding: gzip\r\n\r\nabc",
      ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked, gzip\r\n\r\nabc",
      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n0\r\n\r\n",
      ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
      ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      ok + "Content-Length: 3, 2\r\n\r\nabc",
      ok + "Content-Length: 3,3\r\n\r\nabc",
      ok + "Content-Length: +3\r\n\r\nabc",
      ok + "Content-Length: -3\r\n\r\nabc",
      ok + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n"
           "0\r\nTransfer-Encoding: chunked\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n",
  };
  ServerCaller caller;
  for (const std::string& text : replies) {
    for (const Pace pace : {Pace::kWhole, Pace::kSingleBytes}) {
      RawServer server([&](RawSocket& socket, size_t) {
        socket.ReadUntil("\r\n\r\n", seconds(1));
        SendAt(socket, text, pace);
      });
      const Reply reply = caller.Call(server.port(), /*max_body=*/1000);
      EXPECT_EQ(reply.status, ReplyStatus::kMalformed) << text;
      EXPECT_FALSE(reply.reusable) << text;
    }
  }
}

std::string RandomStream(std::mt19937_64& random) {
  const auto pick = [&random](const std::vector<std::string>& choices) {
    return choices[random() % choices.size()];
  };
  std::string text;
  for (uint64_t n = random() % 3 + 1; n > 0; --n) {
    if (random() % 2 == 0) {
      text += "POST / HTTP/1.1\r\nHost: a\r\n";
      text += pick({"\r\n", "Content-Length: 5\r\n\r\nabcde",
                    "Transfer-Encoding: chunked\r\n\r\n5;x\r\nabcde\r\n"
                    "0\r\nX: y\r\n\r\n",
                    "Transfer-Encoding: CHUNKED\r\n\r\n00\r\n\r\n"});
      continue;
    }
    text += pick({"POST / HTTP/1.1\r\n", "POST / HTTP/1.1\r\n",
                  "POST / HTTP/1.1\r\n", "POST / HTTP/1.0\r\n"});
    text += "Host: a\r\n";
    for (uint64_t fields = random() % 3; fields > 0; --fields) {
      text += pick(
          {"Content-Length: 5\r\n", "Content-Length: 0\r\n",
           "Content-Length: 05\r\n", "Content-Length: 5,5\r\n",
           "Content-Length: +5\r\n", "Content-Length:5\r\n",
           "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n",
           "Transfer-Encoding: CHUNKED\r\n",
           "Transfer-Encoding: x, chunked\r\n",
           "Transfer-Encoding: chunked, x\r\n",
           "Transfer-Encoding : chunked\r\n", "Transfer-Encoding: xchunked\r\n",
           "Transfer-Encoding: chunked\n", "Transfer-Encoding:\tchunked\r\n"});
    }
    text += "\r\n";
    for (uint64_t chunks = random() % 4; chunks > 0; --chunks) {
      text += pick({"5\r\nabcde\r\n", "5\r\nabcde\r\n", "0\r\n\r\n",
                    "0\r\n\r\n", "abcde", "5;x\r\nabcde\r\n", "+5\r\nabcde\r\n",
                    "5 \r\nabcde\r\n", "5\nabcde\n", "00000\r\n\r\n",
                    "ffffffffffffffff5\r\nabcde\r\n", "5\r\nabcdef\r\n",
                    "0\r\nX: y\r\n\r\n"});
    }
  }
  return text + "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
}

// Guards against streams in which the server sees more requests than a strict
// reader does: the additional ones were sent as part of a body. More runs by
// GOOSEBERRYROCK_FUZZ_RUNS.
TEST_F(RequestFramingTest, NeverMoreAnswersThanRequests) {
  const char* runs = std::getenv("GOOSEBERRYROCK_FUZZ_RUNS");
  const int n = runs == nullptr ? 300 : std::stoi(runs);
  std::mt19937_64 random(20261205);
  int faulty = 0;
  for (int i = 0; i < n; ++i) {
    const std::string text = RandomStream(random);
    StrictReader strict{text};
    size_t requests = 0;
    while (!strict.text.empty() && strict.TakeRequest()) {
      ++requests;
    }
    RawSocket socket(Connect(server_->port()));
    SendAt(socket, text, i % 8 == 0 ? Pace::kSingleBytes : Pace::kWhole);
    const std::string reply = socket.ReadUntil("never", milliseconds(60));
    const size_t answers = Count(reply, "HTTP/1.1 200");
    EXPECT_LE(answers, requests) << text;
    EXPECT_LE(Count(reply, "HTTP/1.1 ") - answers, 1U) << text;
    if (strict.faulty) {
      ++faulty;
      // The server may have closed the connection before it reached the fault.
      char byte = 0;
      EXPECT_LE(recv(socket.fd(), &byte, 1, MSG_DONTWAIT), 0) << text;
      EXPECT_NE(errno, EAGAIN) << "the connection stays open\n" << text;
    }
  }
  std::cout << n << " streams, " << faulty << " with a fault\n";
}

}  // namespace
}  // namespace gooseberryrock::transport
