// Raw TCP client and server for tests that need a misbehaving peer.

#include "raw_socket.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace gooseberryrock::http {

namespace {

constexpr int kBacklog = 512;
constexpr Duration kRequestTimeout = std::chrono::seconds(10);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Binds to a port chosen by the kernel and returns the socket and the port.
std::pair<int, uint16_t> BindToFreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  EXPECT_EQ(::bind(fd, generic, size), 0);
  EXPECT_EQ(::getsockname(fd, generic, &size), 0);
  return {fd, ntohs(address.sin_port)};
}

}  // namespace

uint16_t FreePort() {
  const auto [fd, port] = BindToFreePort();
  ::close(fd);
  return port;
}

RawSocket::~RawSocket() {
  ::close(fd_);
}

bool RawSocket::Send(std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

bool RawSocket::SendByteByByte(std::string_view text) {
  const int enabled = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  for (size_t n = 0; n < text.size(); ++n) {
    if (!Send(text.substr(n, 1))) {
      return false;
    }
  }
  return true;
}

bool RawSocket::ReadSome(std::string& text, SteadyTime until) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      until - std::chrono::steady_clock::now());
  pollfd fd{fd_, POLLIN, 0};
  const int wait_ms = std::max(static_cast<int>(left.count()), 0);
  char buf[4096];
  if (::poll(&fd, 1, wait_ms) <= 0) {
    return false;
  }
  const ssize_t n = ::recv(fd_, buf, sizeof(buf), 0);
  if (n <= 0) {
    return false;
  }
  text.append(buf, static_cast<size_t>(n));
  return true;
}

std::string RawSocket::ReadUntil(std::string_view end, Duration timeout) {
  const SteadyTime until = std::chrono::steady_clock::now() + timeout;
  std::string text;
  while (text.find(end) == std::string::npos && ReadSome(text, until)) {
  }
  return text;
}

std::string RawSocket::ReadRequest() {
  const SteadyTime until = std::chrono::steady_clock::now() + kRequestTimeout;
  std::string text = ReadUntil("\r\n\r\n", kRequestTimeout);
  const size_t header_end = text.find("\r\n\r\n");
  if (header_end == std::string::npos) {
    return "";
  }
  constexpr std::string_view kLength = "Content-Length: ";
  size_t length = 0;
  const size_t at = text.find(kLength);
  if (at < header_end) {
    std::from_chars(text.data() + at + kLength.size(), text.data() + header_end,
                    length);
  }
  while (text.size() < header_end + 4 + length) {
    if (!ReadSome(text, until)) {
      return "";
    }
  }
  return text;
}

int Connect(uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
            0);
  return fd;
}

RawServer::RawServer(Script script) : script_(std::move(script)) {
  std::tie(listener_, port_) = BindToFreePort();
  EXPECT_EQ(::listen(listener_, kBacklog), 0);
  thread_ = std::thread([this] { Run(); });
}

RawServer::~RawServer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const int fd : fds_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  for (std::thread& worker : workers_) {
    worker.join();
  }
  for (const int fd : fds_) {
    ::close(fd);
  }
  ::close(listener_);
}

size_t RawServer::connections() const {
  std::lock_guard lock(mutex_);
  return fds_.size();
}

void RawServer::Run() {
  for (int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0;
       fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) {
    std::lock_guard lock(mutex_);
    const size_t number = fds_.size();
    fds_.push_back(fd);
    if (stopping_) {
      return;
    }
    // The descriptor in `fds_` stays open until destruction, so that its number
    // is not reused while the destructor may shut it down.
    workers_.emplace_back([this, fd, number] {
      RawSocket socket(::dup(fd));
      script_(socket, number);
      ::shutdown(fd, SHUT_RDWR);
    });
  }
}

std::string OkReply(std::string_view body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + std::string(body);
}

}  // namespace gooseberryrock::http
