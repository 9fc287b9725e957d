// Sends random replies, most of them faulty, to a connection.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gooseberryrock/transport/server_connection.h"
#include "raw_socket.h"
#include "server_caller.h"
#include "strict_reader.h"

namespace gooseberryrock::transport {
namespace {

using http::RawServer;
using http::RawSocket;
using std::chrono::seconds;

constexpr size_t kMaxBody = 100000;
// Longer than a field that the parser can store.
constexpr size_t kLongSize = 70000;

using Random = std::mt19937_64;

std::string Pick(Random& random, const std::vector<std::string>& choices) {
  return choices[random() % choices.size()];
}

// The parts of a reply, each of them valid, odd or very long.
std::string RandomHeader(Random& random) {
  if (random() % 4 == 0) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  std::string text;
  for (uint64_t n = random() % 8; n == 1; n = random() % 8) {
    text += Pick(random, {"HTTP/1.1 100 Continue\r\n\r\n",
                          "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n",
                          "HTTP/1.1 101 Switching Protocols\r\n\r\n"});
  }
  text += Pick(random, {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 No\r\n",
                        "HTTP/1.1 204 No Content\r\n", "HTTP/1.0 200 OK\r\n",
                        "HTTP/1.1 2000 OK\r\n", "HTTP/2 200 OK\r\n", "\r\n",
                        "HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n"});
  if (random() % 32 == 0) {
    text += "X: " + std::string(kLongSize, 'a') + "\r\n";
  }
  for (uint64_t n = random() % 3; n > 0; --n) {
    text += Pick(random, {"X: y\r\n",
                          "X: y\r\n z\r\n",
                          "X: y\n",
                          ": y\r\n",
                          "Content-Length: 5\r\n",
                          "Content-Length: 5\r\n",
                          "Content-Length: 0\r\n",
                          "Content-Length: 5,5\r\n",
                          "Content-Length: 10\r\n",
                          "Content-Length: 70000\r\n",
                          "Content-Length: 100001\r\n",
                          "Content-Length: 10000000000000\r\n",
                          "Content-Length: 18446744073709551615\r\n",
                          "Content-Length: -1\r\n",
                          "Transfer-Encoding: chunked\r\n",
                          "Transfer-Encoding: chunked\r\n",
                          "Transfer-Encoding: chunked\r\n",
                          "Transfer-Encoding: gzip\r\n",
                          "Transfer-Encoding: gzip, chunked\r\n",
                          "Connection: close\r\n"});
  }
  return text + "\r\n";
}

std::string RandomReply(Random& random) {
  const std::string long_text(kLongSize, 'a');
  std::string text = RandomHeader(random);
  for (uint64_t n = random() % 4; n > 0; --n) {
    text += Pick(
        random,
        {"abcde", "5\r\nabcde\r\n", "5\r\nabcde\r\n", "5;x=y\r\nabcde\r\n",
         "5;" + long_text + "\r\nabcde\r\n", "11170\r\n" + long_text + "\r\n",
         "186a1\r\n" + long_text + "\r\n", "ffffffffffffffff\r\nabcde\r\n",
         "-5\r\nabcde\r\n", "0\r\n\r\n", "0\r\n\r\n", "0\r\nX: y\r\n\r\n",
         "0\r\nX: y\r\n z\r\n\r\n", "0\r\nX: " + long_text + "\r\n\r\n",
         "0\r\nContent-Length: 5\r\n\r\n", long_text});
  }
  if (random() % 4 == 0) {
    text.resize(random() % (text.size() + 1));
  }
  for (uint64_t n = random() % 8; n == 1 && !text.empty(); n = random() % 8) {
    text[random() % text.size()] = static_cast<char>(random());
  }
  return text;
}

// Guards against a reply that ends the process, that never ends, or that is
// taken as whole although it is cut or its end is not certain. More runs by
// GOOSEBERRYROCK_FUZZ_RUNS.
TEST(ReplyFuzzTest, CompleteRepliesAreValid) {
  const char* runs = std::getenv("GOOSEBERRYROCK_FUZZ_RUNS");
  const int n = runs == nullptr ? 1000 : std::stoi(runs);
  Random random(20261205);
  ServerCaller caller;
  int complete = 0;
  int faulty = 0;
  for (int i = 0; i < n; ++i) {
    const std::string text = RandomReply(random);
    std::vector<size_t> cuts(random() % 4);
    for (size_t& it : cuts) {
      it = random() % 200 + 1;
    }
    RawServer server([&](RawSocket& socket, size_t /*number*/) {
      socket.ReadUntil("\r\n\r\n", seconds(1));
      std::string_view rest = text;
      for (const size_t it : cuts) {
        socket.Send(rest.substr(0, it));
        rest.remove_prefix(std::min(it, rest.size()));
      }
      socket.Send(rest);
    });
    const Reply reply = caller.Call(server.port(), kMaxBody);
    StrictReader strict{text};
    const std::optional<std::string> body = strict.TakeReply();
    faulty += strict.faulty ? 1 : 0;
    if (reply.status == ReplyStatus::kComplete) {
      ++complete;
      ASSERT_TRUE(body) << text.substr(0, 1000);
      EXPECT_EQ(reply.response.body(), *body) << text.substr(0, 1000);
      EXPECT_LE(body->size(), kMaxBody);
    }
    // Ends the sending of the rest.
    caller.Close();
  }
  EXPECT_GT(complete, n / 10);
  EXPECT_GT(faulty, n / 10);
  std::cout << n << " replies, " << complete << " complete, " << faulty
            << " with a fault\n";
}

}  // namespace
}  // namespace gooseberryrock::transport
