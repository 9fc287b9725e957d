// The directory record of one backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_SERVER_RECORD_H_
#define GOOSEBERRYROCK_DIRECTORY_SERVER_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/server_state.h"
#include "gooseberryrock/directory/shard_replica.h"

namespace gooseberryrock::directory {

struct ServerRecord {
  BackendServerId id;
  // Incremented with each start of the server.
  uint64_t incarnation = 0;
  ServerState state = ServerState::kStarting;
  // Incremented with each change announced in this incarnation.
  uint64_t sequence = 0;
  ServiceName service;
  FailureDomain failure_domain;
  // Numeric IP address and TCP port of the server's HTTP port.
  std::string host;
  uint16_t port = 0;
  std::map<std::string, std::string> labels;
  std::vector<ShardReplica> replicas;
  // Maximum number of concurrent subqueries.
  uint32_t slots = 1;
  // Maximum number of connections from all nodes together.
  uint32_t connection_limit = 1;
  // The server takes fewer requests until it has warmed up.
  bool cold = false;
  // The node that received the last announcement; only it may expire the
  // server.
  NodeId owner;
  // Incremented with each change of the owner.
  uint64_t owner_epoch = 0;

  bool operator==(const ServerRecord&) const = default;
};

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_SERVER_RECORD_H_
