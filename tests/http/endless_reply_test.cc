// Tests calls through a backend channel to servers whose replies have a body
// without end.

#include <gtest/gtest.h>

#include <string>

#include "endless_reply.h"

namespace gooseberryrock::http {
namespace {

// Guards against a body without end that fills the memory until the call times
// out.
TEST(EndlessReplyTest, BodyIsBounded) {
  const std::string bytes(4096, 'a');
  EXPECT_LT(BytesTaken("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n",
                       bytes),
            kMaxSent);
  EXPECT_LT(BytesTaken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "1000\r\n" + bytes + "\r\n"),
            kMaxSent);
}

}  // namespace
}  // namespace gooseberryrock::http
