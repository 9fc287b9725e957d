// A request that reached one of our HTTP servers.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_
#define GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_

#include <map>
#include <string>

namespace gooseberryrock::http {

struct HttpRequest {
  std::string method;
  std::string path;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // The body is larger than the server's limit and was not kept.
  bool body_too_large = false;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_REQUEST_H_
