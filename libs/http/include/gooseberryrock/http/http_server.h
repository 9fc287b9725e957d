// An HTTP server that hands each request to one function.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_SERVER_H_
#define GOOSEBERRYROCK_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gooseberryrock/http/http_reply.h"
#include "gooseberryrock/http/http_request.h"

namespace gooseberryrock::http {

struct HttpServerOptions {
  // Numeric IP address and TCP port to listen on.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // Threads that run the handler, and requests that may wait for one; beyond
  // that a request is answered with status 503 at once.
  unsigned threads = 64;
  size_t max_waiting = 1024;
  // A larger body is marked as too large; one of more than sixteen times as
  // much is refused with status 413 while it arrives.
  size_t max_body_bytes = size_t{64} * 1024;
};

class HttpServer {
 public:
  // Called on several threads at once. An exception becomes a reply with
  // status 500.
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  // Listens at once. Throws HttpError when the address cannot be used.
  HttpServer(const HttpServerOptions& options, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // Stops listening and waits for the requests in flight.
  ~HttpServer();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_SERVER_H_
