// Tests calls through a backend channel to a server whose reply has a header
// without end.

#include <gtest/gtest.h>

#include <string>

#include "endless_reply.h"

namespace gooseberryrock::http {
namespace {

// Guards against a header without end that fills the memory until the call
// times out.
TEST(EndlessReplyTest, HeaderIsBounded) {
  EXPECT_LT(BytesTaken("HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'a')),
            kMaxSent);
}

}  // namespace
}  // namespace gooseberryrock::http
