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
  // Threads that run the handler. A thread stays with a kept-alive connection
  // for about 10 ms after a reply, so that the rate is at most threads / (time
  // in the handler + 10 ms) when there are many connections. A connection whose
  // request arrives slowly occupies no thread while it sends nothing, and the
  // number of open connections is not limited. The listen backlog is 5: a burst
  // of more connections than that and the free threads is served, but part of
  // it after the kernel's first SYN retransmission, 1 s later.
  unsigned threads = 64;
  // A larger body is read and dropped, and marked as too large. Request line
  // and header fields are not limited as they arrive: cxxtools refuses fields
  // beyond 4,096 bytes in all, but keeps a single longer one in memory until it
  // ends.
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
