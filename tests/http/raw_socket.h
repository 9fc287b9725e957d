// Raw TCP client and server for tests that need a misbehaving peer.

#ifndef GOOSEBERRYROCK_TESTS_HTTP_RAW_SOCKET_H_
#define GOOSEBERRYROCK_TESTS_HTTP_RAW_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::http {

// Returns a port on 127.0.0.1 that was free when it was checked.
uint16_t FreePort();

// One end of a TCP connection. The destructor closes it.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket();

  // Returns false if the peer has closed the connection.
  bool Send(std::string_view text);
  // Sends each byte by itself, so that the peer mostly reads it by itself.
  bool SendByteByByte(std::string_view text);
  // Reads until the text contains `end` and returns it, or less if the peer
  // closes the connection or `timeout` passes first.
  std::string ReadUntil(std::string_view end, Duration timeout);
  // Reads a request with a Content-Length. Empty if the peer closes.
  std::string ReadRequest();
  int fd() const { return fd_; }

 private:
  bool ReadSome(std::string& text, SteadyTime until);

  const int fd_;
};

// Returns the descriptor of a connection to 127.0.0.1. The test fails if it
// cannot connect.
int Connect(uint16_t port);

// Listens on a free port and runs a function on its own thread for each
// connection. The connection is closed when the function returns.
class RawServer {
 public:
  // Receives the connection and its number, starting at 0.
  using Script = std::function<void(RawSocket&, size_t)>;

  explicit RawServer(Script script);
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  // Shuts down all connections and waits for the functions.
  ~RawServer();

  uint16_t port() const { return port_; }
  size_t connections() const;

 private:
  void Run();

  const Script script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::vector<int> fds_;
  bool stopping_ = false;
  // Accessed by `thread_` only, and after it has ended.
  std::list<std::thread> workers_;
  std::thread thread_;
};

// A reply with status 200 that keeps the connection open.
std::string OkReply(std::string_view body);

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_TESTS_HTTP_RAW_SOCKET_H_
