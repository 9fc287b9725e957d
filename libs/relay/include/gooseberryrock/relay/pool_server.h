// One backend server as one I/O shard uses it.

#ifndef GOOSEBERRYROCK_RELAY_POOL_SERVER_H_
#define GOOSEBERRYROCK_RELAY_POOL_SERVER_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/relay/server_stats.h"

namespace gooseberryrock::relay {

struct PoolServer {
  BackendServerId id;
  uint64_t incarnation = 0;
  std::string host;
  uint16_t port = 0;
  bool own_domain = false;
  // Requests that the server runs at the same time.
  uint32_t slots = 1;
  // Connections that this shard may hold to the server; without any it is left
  // to other nodes.
  uint32_t connection_share = 1;
  // Connections that are kept open before they are needed.
  uint32_t ready_connections = 0;
  // Takes new work: announced as ready and not found to be another server.
  bool usable = true;
  // Of the connections, opening ones included, those that carry no request.
  uint32_t connections = 0;
  uint32_t idle_connections = 0;
  // Attempts that wait for a connection.
  uint32_t queued = 0;
  ServerStats stats;

  // Whether new work may go to the server.
  bool TakesWork() const { return usable && connection_share > 0; }
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_POOL_SERVER_H_
