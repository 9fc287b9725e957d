// What an entry node is told at its start.

#ifndef GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_
#define GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/extra_attempt_limit.h"
#include "gooseberryrock/transport/endpoint.h"

namespace gooseberryrock::entry {

struct EntrySettings {
  std::string cluster;
  // At least 32 characters.
  std::string cluster_key;
  // The numeric IP address; it names the node among all nodes.
  NodeId node;
  FailureDomain failure_domain;
  // The same on all nodes of a deployment.
  uint16_t peer_port = 0;
  // Control VMs to begin with; the others are learned from them.
  std::vector<NodeId> control_vms;
  transport::Endpoint caller_endpoint;
  transport::Endpoint ready_endpoint;
  // Of the metrics; none are served when the host is empty.
  transport::Endpoint metrics_endpoint;
  // I/O shards, each with a thread: one for each core.
  unsigned io_shards = 1;
  relay::ExtraAttemptLimit extra_attempts;
  // From the stop signal to the end of the process.
  Duration stop_time = std::chrono::seconds(6);
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_
