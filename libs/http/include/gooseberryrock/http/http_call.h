// A blocking HTTP request on its own connection.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_CALL_H_
#define GOOSEBERRYROCK_HTTP_HTTP_CALL_H_

#include <cstdint>
#include <map>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_reply.h"

namespace gooseberryrock::http {

struct HttpCall {
  // Numeric IP address or name, and TCP port.
  std::string host;
  uint16_t port = 0;
  std::string method = "POST";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
};

// Opens a connection, sends the request once and returns the complete reply.
// Throws HttpError if the server cannot be reached, the timeout passes, the
// connection ends early, or the reply is not valid HTTP or larger than 64 MiB;
// the server may have run the request in that case.
HttpReply Execute(const HttpCall& call);

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_CALL_H_
