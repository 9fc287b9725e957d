// Tests the memory limit of the HTTP server for a request line and headers.

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/http/http_server.h"
#include "raw_socket.h"

namespace gooseberryrock::http {
namespace {

// An endless request line or header must not grow the memory of the server: the
// connection must end within the limit, which is far above what a caller of the
// system needs.
TEST(HttpHeaderLimitTest, EndsConnectionWithEndlessHeader) {
  const uint16_t port = FreePort();
  HttpServer server({"127.0.0.1", port, 8},
                    [](const HttpRequest&) { return HttpReply(); });
  constexpr size_t kLimit = size_t{8} << 20;
  for (const std::string start : {"GET /", "GET /?a=", "", "GET / HTTP/1.1\r\n",
                                  "GET / HTTP/1.1\r\nX: "}) {
    SCOPED_TRACE(start);
    RawSocket socket(Connect(port));
    bool open = socket.Send(start);
    const std::string part(size_t{64} * 1024, 'a');
    size_t sent = 0;
    while (open && sent < kLimit) {
      open = socket.Send(part);
      sent += part.size();
    }
    EXPECT_FALSE(open) << "still open after " << sent << " bytes";
  }
}

}  // namespace
}  // namespace gooseberryrock::http
