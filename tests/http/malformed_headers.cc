// Headers of replies that are not valid HTTP.

#include "malformed_headers.h"

namespace gooseberryrock::http {

std::vector<std::string> MalformedHeaders() {
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
  };
}

}  // namespace gooseberryrock::http
