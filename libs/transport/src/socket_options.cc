// Options that all TCP connections share.

#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gooseberryrock::transport {

namespace {

// Idle seconds before the first keep-alive probe, seconds between probes, and
// probes without a reply that close the connection. A request that meets a
// silent connection finds it sooner, since what it sends stays unacknowledged;
// probes of idle connections cost traffic between failure domains.
constexpr int kProbeIdleSeconds = 10;
constexpr int kProbeIntervalSeconds = 2;
constexpr int kProbes = 2;
// Milliseconds that sent bytes may stay unacknowledged: within the contact time
// of today's deployments.
constexpr int kUnacknowledgedMilliseconds = 4000;

void SetOption(int socket, int level, int name, int value) {
  // A kernel without the option still works, only slower to notice a failure.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMilliseconds);
}

}  // namespace gooseberryrock::transport
