// Headers of replies that are not valid HTTP.

#include "malformed_headers.h"

#include <iterator>

namespace gooseberryrock::http {

std::vector<std::string> MalformedHeaders() {
  constexpr char kNullInName[] = "HTTP/1.1 200 OK\r\nX\0Y: a\r\n";
  return {
      "HTTP/1.1 000 X\r\n",
      "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n",
      "HTTP/1.1 099 X\r\n",
      "HTTP/1.1 600 X\r\n",
      "HTTP/1.1 999 X\r\n",
      "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n",
      "HTTP/1.1 200 OK\r\nX:\r\n\tb\r\n",
      "HTTP/1.1 200 OK\r\nX: a\r\n \r\n",
      "HTTP/1.1 200 OK\r\n X: a\r\n",
      "HTTP/1.1 200 OK\r\nX Y: a\r\n",
      "HTTP/1.1 200 OK\r\nX : a\r\n",
      "HTTP/1.1 200 OK\r\nX\tY: a\r\n",
      "HTTP/1.1 200 OK\r\nX\x01Y: a\r\n",
      "HTTP/1.1 200 OK\r\nX\x7fY: a\r\n",
      "HTTP/1.1 200 OK\r\nX: a\x01z\r\n",
      std::string(kNullInName, std::size(kNullInName) - 1),
  };
}

}  // namespace gooseberryrock::http
