// What a node is told at its start.

#ifndef GOOSEBERRYROCK_SETTINGS_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::settings {

// A numeric IP address and a TCP port.
struct Address {
  std::string host;
  uint16_t port = 0;
};

struct PeerSettings {
  NodeId node;
  FailureDomain failure_domain;
  Address peer_address;
  // Whether the peer has a data folder and takes part in the replicated log.
  bool control = false;
};

struct Settings {
  std::string cluster;
  NodeId node;
  FailureDomain failure_domain;
  Address http_address;
  Address peer_address;
  // Empty: the node has no disk and no part in the replicated log.
  std::string data_folder;
  // All other nodes.
  std::vector<PeerSettings> peers;
  std::string cluster_key;
  std::string operator_token;
  unsigned http_threads = 64;
  unsigned query_shards = 4;
  unsigned io_shards = 4;
  Duration drain_wait = std::chrono::seconds(2);
  std::string log_level = "info";
};

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SETTINGS_H_
