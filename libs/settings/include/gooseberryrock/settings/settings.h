// What a node is told at its start.

#ifndef GOOSEBERRYROCK_SETTINGS_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_SETTINGS_H_

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

  auto operator<=>(const Address&) const = default;
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
  // Empty: all failure domains are in one region.
  std::string region;
  Address http_address;
  Address peer_address;
  // Empty: the node has no disk and no part in the replicated log.
  std::string data_folder;
  // Set on a control VM with a new data folder that replaces another one: it
  // joins the replicated log as a learner instead of starting a new log.
  bool join_existing_log = false;
  // All other nodes.
  std::vector<PeerSettings> peers;
  // At least 32 characters; from the settings or from a file of its own.
  std::string cluster_key;
  // At least 16 characters; from the settings or from a file of its own.
  std::string operator_token;
  unsigned http_threads = 64;
  unsigned query_shards = 4;
  unsigned io_shards = 4;
  Duration drain_wait = std::chrono::seconds(2);
  // "debug", "info", "warning" or "error".
  std::string log_level = "info";
  // Queries that run or wait at once; more are refused. Each one occupies an
  // HTTP thread, so this stays below `http_threads`, which leaves threads for
  // announcements, health checks and operators.
  unsigned max_in_flight = 48;
};

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SETTINGS_H_
