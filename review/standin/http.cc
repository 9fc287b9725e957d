// Blocking HTTP/1.1 for the stand-ins: callers, backend servers and operators.

#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;

constexpr int kBacklog = 256;
// How long a server waits for the next request of a connection.
constexpr milliseconds kIdleTimeout{60'000};
constexpr milliseconds kStopCheck{100};

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  return fd;
}

bool Bind(int fd, const Address& address) {
  const sockaddr_in to = ToSocketAddress(address);
  return bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
}

bool WaitFor(int fd, int16_t events, Clock::time_point until) {
  while (true) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - Clock::now() + milliseconds(1));
    if (left.count() <= 0) {
      return false;
    }
    pollfd item = {fd, events, 0};
    const int n = poll(&item, 1, static_cast<int>(left.count()));
    if (n > 0) {
      return true;
    }
    if (n < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool Write(int fd, std::string_view data, Clock::time_point until) {
  while (!data.empty()) {
    const ssize_t n =
        send(fd, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      data.remove_prefix(static_cast<size_t>(n));
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (!WaitFor(fd, POLLOUT, until)) {
        return false;
      }
    } else {
      return false;
    }
  }
  return true;
}

enum class ReadResult { kData, kEnd, kTimeout };

ReadResult ReadSome(int fd, std::string& buffer, Clock::time_point until) {
  if (!WaitFor(fd, POLLIN, until)) {
    return ReadResult::kTimeout;
  }
  std::array<char, size_t{1} << 16U> chunk{};
  const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
  if (n <= 0) {
    return ReadResult::kEnd;
  }
  buffer.append(chunk.data(), static_cast<size_t>(n));
  return ReadResult::kData;
}

std::string ToLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return out;
}

Fields ParseFields(std::string_view lines) {
  Fields fields;
  while (!lines.empty()) {
    const size_t end = lines.find("\r\n");
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 2);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::string& field = fields[ToLower(line.substr(0, colon))];
    field += (field.empty() ? "" : ", ") + std::string(value);
  }
  return fields;
}

// Reads a message into its first line, its fields and its body, which has a
// length.
ReadResult ReadMessage(int fd,
                       std::string& buffer,
                       Clock::time_point until,
                       std::string& first_line,
                       Fields& fields,
                       std::string& body) {
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ReadResult result = ReadSome(fd, buffer, until);
    if (result != ReadResult::kData) {
      return result;
    }
  }
  const std::string header = buffer.substr(0, end + 2);
  const size_t line = header.find("\r\n");
  first_line = header.substr(0, line);
  const std::string_view lines = header;
  fields = ParseFields(lines.substr(line + 2));
  buffer.erase(0, end + 4);
  const auto length = fields.find("content-length");
  const size_t size = length == fields.end()
                          ? 0
                          : std::strtoull(length->second.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    const ReadResult result = ReadSome(fd, buffer, until);
    if (result != ReadResult::kData) {
      return result;
    }
  }
  body = buffer.substr(0, size);
  buffer.erase(0, size);
  return ReadResult::kData;
}

std::string Encode(const std::string& first_line,
                   const Fields& fields,
                   const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

bool WantsClose(const Fields& fields) {
  const auto it = fields.find("connection");
  return it != fields.end() && ToLower(it->second) == "close";
}

void Reset(int fd) {
  const linger now = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  shutdown(fd, SHUT_RDWR);
}

}  // namespace

Connection::Connection(Address address) : address_(std::move(address)) {}

Connection::~Connection() {
  Close();
}

void Connection::Close() {
  if (socket_ >= 0) {
    close(socket_);
    socket_ = -1;
  }
  buffer_.clear();
}

bool Connection::Open() {
  Close();
  socket_ = OpenSocket();
  const sockaddr_in to = ToSocketAddress(address_);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    Close();
    return false;
  }
  return true;
}

std::optional<Response> Connection::Call(const Request& request,
                                         milliseconds timeout) {
  ended_ = false;
  const auto until = Clock::now() + timeout;
  if (socket_ < 0 && !Open()) {
    return std::nullopt;
  }
  if (!Write(socket_,
             Encode(request.method + " " + request.target + " HTTP/1.1",
                    request.fields, request.body),
             until)) {
    Close();
    return std::nullopt;
  }
  Response response;
  std::string line;
  const ReadResult result = ReadMessage(socket_, buffer_, until, line,
                                        response.fields, response.body);
  constexpr size_t kStatusAt = 9;
  if (result != ReadResult::kData || line.size() < kStatusAt + 3) {
    ended_ = result == ReadResult::kEnd;
    Close();
    return std::nullopt;
  }
  response.status =
      static_cast<int>(std::strtol(line.c_str() + kStatusAt, nullptr, 10));
  if (WantsClose(response.fields)) {
    Close();
  }
  return response;
}

Server::Server(const std::string& host, Handler handler)
    : address_{host, 0}, handler_(std::move(handler)) {
  Listen();
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  acceptor_.join();
  ResetConnections();
  while (threads_ > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  std::lock_guard lock(mutex_);
  if (listener_ >= 0) {
    close(listener_);
  }
}

void Server::Listen() {
  const int fd = OpenSocket();
  if (!Bind(fd, address_) || listen(fd, kBacklog) != 0) {
    close(fd);
    throw std::runtime_error("cannot listen on " + address_.host);
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  address_.port = ntohs(bound.sin_port);
  std::lock_guard lock(mutex_);
  listener_ = fd;
}

void Server::Accept() {
  while (!stopping_) {
    int listener = -1;
    {
      std::lock_guard lock(mutex_);
      listener = listener_;
    }
    if (listener < 0) {
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    if (!WaitFor(listener, POLLIN, Clock::now() + kStopCheck)) {
      continue;
    }
    std::lock_guard lock(mutex_);
    if (listener_ != listener) {
      continue;
    }
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    sockets_.insert(fd);
    ++threads_;
    std::thread([this, fd] {
      Serve(fd);
      --threads_;
    }).detach();
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  while (!stopping_) {
    Request request;
    std::string line;
    if (ReadMessage(socket, buffer, Clock::now() + kIdleTimeout, line,
                    request.fields, request.body) != ReadResult::kData) {
      break;
    }
    const size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    const auto response = handler_(request);
    if (!response ||
        !Write(socket,
               Encode("HTTP/1.1 " + std::to_string(response->status) + " -",
                      response->fields, response->body),
               Clock::now() + kIdleTimeout)) {
      break;
    }
  }
  std::lock_guard lock(mutex_);
  sockets_.erase(socket);
  close(socket);
}

void Server::ResetConnections() {
  std::lock_guard lock(mutex_);
  for (const int it : sockets_) {
    Reset(it);
  }
}

void Server::Crash() {
  {
    std::lock_guard lock(mutex_);
    if (listener_ >= 0) {
      close(listener_);
      listener_ = -1;
    }
  }
  ResetConnections();
}

void Server::Resume() {
  Listen();
}

uint16_t FreePort(const std::set<std::string>& hosts) {
  while (true) {
    const int first = OpenSocket();
    Bind(first, {*hosts.begin(), 0});
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(first, reinterpret_cast<sockaddr*>(&bound), &size);
    close(first);
    const uint16_t port = ntohs(bound.sin_port);
    const bool free =
        std::all_of(hosts.begin(), hosts.end(), [port](const std::string& it) {
          const int fd = OpenSocket();
          const bool bound_here = Bind(fd, {it, port});
          close(fd);
          return bound_here;
        });
    if (free) {
      return port;
    }
  }
}

}  // namespace gooseberryrock::review
