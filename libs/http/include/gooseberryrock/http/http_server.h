// An HTTP server that calls a handler for each request.

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
  // Number of handler threads, and of requests that may wait for one. Further
  // requests are answered with status 503 immediately.
  unsigned threads = 64;
  size_t max_waiting = 1024;
  // A larger body is marked as too large. One more than sixteen times larger is
  // refused with status 413 while it is received.
  size_t max_body_bytes = size_t{64} * 1024;
};

class HttpServer {
 public:
  // Called concurrently on several threads. An exception is answered with
  // status 500.
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  // Starts listening. Throws HttpError if the address cannot be bound.
  HttpServer(const HttpServerOptions& options, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // Stops listening and waits for requests in flight.
  ~HttpServer();

  // Number of requests that were refused because they could not be read, since
  // the start.
  uint64_t MalformedRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_SERVER_H_
