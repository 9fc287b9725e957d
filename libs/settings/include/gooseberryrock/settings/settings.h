// Start-up settings of a node.

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
  // Whether the peer is a control node: it has a data folder and is a member of
  // the replicated log.
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
  // Empty: the node stores nothing and is not a member of the replicated log.
  std::string data_folder;
  // For a control VM that replaces another one and has an empty data folder: it
  // joins the existing replicated log as a learner instead of starting a new
  // log.
  bool join_existing_log = false;
  // All other nodes of the cluster.
  std::vector<PeerSettings> peers;
  // At least 32 characters. Read from this file or from a separate file.
  std::string cluster_key;
  // At least 16 characters. Read from this file or from a separate file.
  std::string operator_token;
  unsigned http_threads = 64;
  unsigned query_shards = 4;
  unsigned io_shards = 4;
  Duration drain_wait = std::chrono::seconds(2);
  // "debug", "info", "warning" or "error".
  std::string log_level = "info";
  // Maximum number of queries that run or wait; further ones are refused. Each
  // query occupies an HTTP thread, so this must be below `http_threads`: the
  // other threads serve announcements, health checks and operators.
  unsigned max_in_flight = 48;
};

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SETTINGS_H_
