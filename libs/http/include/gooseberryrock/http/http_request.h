// A request received by an HTTP server of this process.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_
#define GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_

#include <map>
#include <string>

namespace gooseberryrock::http {

struct HttpRequest {
  std::string method;
  std::string path;
  // Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // The body exceeds the limit of the server and was discarded.
  bool body_too_large = false;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_
