// Blocking HTTP/1.1 for the stand-ins: callers, backend servers and operators.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_HTTP_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace gooseberryrock::review {

using Clock = std::chrono::steady_clock;
using Fields = std::map<std::string, std::string>;

struct Address {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

struct Request {
  std::string method = "GET";
  std::string target;
  // Names in lower case.
  Fields fields;
  std::string body;
};

struct Response {
  int status = 200;
  // Names in lower case.
  Fields fields;
  std::string body;
};

// A caller's connection, which is kept open between requests.
class Connection {
 public:
  explicit Connection(Address address);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // Returns nullopt if the connection ends or `timeout` passes before the
  // response is complete; `ended` then tells which. Reconnects if needed.
  std::optional<Response> Call(const Request& request,
                               std::chrono::milliseconds timeout);
  // Whether the last call ended because the peer closed or reset the connection
  // after the whole request was written to it.
  bool ended() const { return ended_; }
  bool IsOpen() const { return socket_ >= 0; }
  void Close();

 private:
  bool Open();

  const Address address_;
  int socket_ = -1;
  bool ended_ = false;
  std::string buffer_;
};

// Serves each connection on a thread of its own.
class Server {
 public:
  // Returns nullopt to end the connection without an answer.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  // Listens on a free port of `host`.
  Server(const std::string& host, Handler handler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  const Address& address() const { return address_; }
  // Resets all connections and refuses new ones, like a process that crashed,
  // until Resume().
  void Crash();
  void Resume();

 private:
  void Listen();
  void Accept();
  void Serve(int socket);
  void ResetConnections();

  Address address_;
  const Handler handler_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::set<int> sockets_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> threads_ = 0;
  std::thread acceptor_;
};

// Returns a port that is free on all of `hosts`.
uint16_t FreePort(const std::set<std::string>& hosts);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_HTTP_H_
