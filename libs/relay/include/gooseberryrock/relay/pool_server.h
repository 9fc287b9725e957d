// The state of a backend server in one I/O shard.

#ifndef GOOSEBERRYROCK_RELAY_POOL_SERVER_H_
#define GOOSEBERRYROCK_RELAY_POOL_SERVER_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/relay/request_limit.h"
#include "gooseberryrock/relay/server_notices.h"
#include "gooseberryrock/relay/server_stats.h"

namespace gooseberryrock::relay {

struct PoolServer {
  BackendServerId id;
  uint64_t incarnation = 0;
  std::string host;
  uint16_t port = 0;
  FailureDomain domain;
  bool same_domain = false;
  // Requests that the server executes concurrently.
  uint32_t slots = 1;
  // Maximum number of connections from this I/O shard to the server; with 0 the
  // server is used by other nodes only.
  uint32_t connection_share = 1;
  // Number of connections to open in advance.
  uint32_t prewarmed_connections = 0;
  // The server is announced as ready and has not said in a reply that it
  // leaves, and no other server was found at its address.
  bool usable = true;
  // An operator evacuates the failure domain of the server.
  bool evacuated = false;
  // Open connections, including those being opened, and those of them that
  // carry no request.
  uint32_t connections = 0;
  uint32_t idle_connections = 0;
  // Attempts waiting for a connection.
  uint32_t queued = 0;
  ServerStats stats;
  RequestLimit request_limit;
  ServerNotices notices;

  // Whether the server accepts new attempts.
  bool AcceptsWork() const {
    return usable && !evacuated && connection_share > 0 &&
           HasPart(request_limit.cold);
  }
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_POOL_SERVER_H_
