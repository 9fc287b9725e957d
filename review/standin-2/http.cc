// Blocking HTTP/1.1 over loopback sockets.

#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

namespace gooseberryrock::review {

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

int LeftMs(Clock::time_point until) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now());
  return left.count() > 0 ? static_cast<int>(left.count()) : 0;
}

// Appends what arrives until `until`. Returns false at the end of the
// connection or of the time.
bool ReadSome(int fd, std::string& buf, Clock::time_point until) {
  pollfd entry{fd, POLLIN, 0};
  if (poll(&entry, 1, LeftMs(until)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  buf.append(bytes, static_cast<size_t>(n));
  return true;
}

bool ReadUntilSize(int fd,
                   std::string& buf,
                   size_t size,
                   Clock::time_point until) {
  while (buf.size() < size) {
    if (!ReadSome(fd, buf, until)) {
      return false;
    }
  }
  return true;
}

// Returns the position after the next line end at or behind `from`, or npos.
size_t ReadLine(int fd,
                std::string& buf,
                size_t from,
                Clock::time_point until) {
  for (;;) {
    const size_t end = buf.find("\r\n", from);
    if (end != std::string::npos) {
      return end + 2;
    }
    if (!ReadSome(fd, buf, until)) {
      return std::string::npos;
    }
  }
}

bool ReadChunks(int fd,
                std::string& buf,
                std::string& body,
                Clock::time_point until) {
  for (;;) {
    const size_t begin = ReadLine(fd, buf, 0, until);
    if (begin == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoul(buf.c_str(), nullptr, 16);
    if (!ReadUntilSize(fd, buf, begin + size + 2, until)) {
      return false;
    }
    body.append(buf, begin, size);
    buf.erase(0, begin + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

Endpoint ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::string FindHeader(const HttpMessage& message, const std::string& name) {
  for (const auto& [key, value] : message.headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

int StatusOf(const HttpMessage& answer) {
  if (!answer.complete || answer.start.size() < 12) {
    return 0;
  }
  return std::atoi(answer.start.c_str() + 9);
}

int Connect(const Endpoint& to, std::chrono::milliseconds timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&entry, 1, static_cast<int>(timeout.count())) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

int Listen(const Endpoint& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(at);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 128) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

HttpMessage ReadMessage(int fd,
                        std::string& rest,
                        std::chrono::milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  HttpMessage message;
  size_t begin = 0;
  for (;;) {
    const size_t next = ReadLine(fd, rest, begin, until);
    if (next == std::string::npos) {
      return message;
    }
    const std::string line = rest.substr(begin, next - 2 - begin);
    begin = next;
    if (line.empty()) {
      break;
    }
    const size_t colon = line.find(':');
    if (message.start.empty()) {
      message.start = line;
    } else if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  rest.erase(0, begin);
  if (!FindHeader(message, "Transfer-Encoding").empty()) {
    message.complete = ReadChunks(fd, rest, message.body, until);
    return message;
  }
  const size_t size =
      std::strtoul(FindHeader(message, "Content-Length").c_str(), nullptr, 10);
  if (ReadUntilSize(fd, rest, size, until)) {
    message.body = rest.substr(0, size);
    rest.erase(0, size);
    message.complete = true;
  }
  return message;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

HttpMessage Call(const Endpoint& to,
                 const std::string& method,
                 const std::string& path,
                 const Headers& headers,
                 const std::string& body,
                 std::chrono::milliseconds timeout) {
  HttpMessage answer;
  const Clock::time_point until = Clock::now() + timeout;
  const int fd = Connect(to, timeout);
  if (fd < 0) {
    return answer;
  }
  std::string bytes = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (WriteAll(fd, bytes)) {
    std::string rest;
    answer = ReadMessage(fd, rest, std::chrono::milliseconds(LeftMs(until)));
  }
  close(fd);
  return answer;
}

}  // namespace gooseberryrock::review
