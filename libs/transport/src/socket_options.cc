// Options of all TCP connections.

#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gooseberryrock::transport {

namespace {

// Idle time before the first keep-alive probe, interval between probes, and
// number of unanswered probes after which the connection is closed. A request
// on a dead connection is detected sooner, because its data stays
// unacknowledged; probes of idle connections cause traffic between failure
// domains.
constexpr int kProbeIdleSeconds = 10;
constexpr int kProbeIntervalSeconds = 2;
constexpr int kMaxUnansweredProbes = 2;
// How long sent data may stay unacknowledged, in milliseconds: within the time
// after which deployments consider a peer unreachable.
constexpr int kUserTimeoutMilliseconds = 4000;

void SetOption(int socket, int level, int name, int value) {
  // The option is not essential: without it the kernel only detects failures
  // later.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

}  // namespace gooseberryrock::transport
