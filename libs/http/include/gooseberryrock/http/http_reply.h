// A reply from an HTTP server.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_REPLY_H_
#define GOOSEBERRYROCK_HTTP_HTTP_REPLY_H_

#include <string>

namespace gooseberryrock::http {

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_REPLY_H_
