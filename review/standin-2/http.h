// Blocking HTTP/1.1 over loopback sockets, as far as the review's stand-ins
// need it: messages with a Content-Length or in chunks, one at a time on a
// connection.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_2_HTTP_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_2_HTTP_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryrock::review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// A request or an answer. `start` is its first line. `complete` is false when
// the connection ended or the time ran out first.
struct HttpMessage {
  std::string start;
  Headers headers;
  std::string body;
  bool complete = false;
};

// An address of the form "127.0.0.1:8080".
struct Endpoint {
  std::string host;
  int port = 0;
};

Endpoint ParseEndpoint(const std::string& text);
std::string FormatEndpoint(const Endpoint& endpoint);

// Value of a header, or an empty string.
std::string FindHeader(const HttpMessage& message, const std::string& name);

// Status code of an answer, or 0 if there was none.
int StatusOf(const HttpMessage& answer);

// Returns a descriptor, or -1.
int Connect(const Endpoint& to, std::chrono::milliseconds timeout);
int Listen(const Endpoint& at);

// Reads one message. `rest` holds bytes that were read beyond it.
HttpMessage ReadMessage(int fd,
                        std::string& rest,
                        std::chrono::milliseconds timeout);
bool WriteAll(int fd, const std::string& bytes);

// Sends one request on a new connection and returns the answer.
HttpMessage Call(const Endpoint& to,
                 const std::string& method,
                 const std::string& path,
                 const Headers& headers,
                 const std::string& body,
                 std::chrono::milliseconds timeout);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_2_HTTP_H_
