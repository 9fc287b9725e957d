// Startup settings of an entry node.

#ifndef GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_
#define GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "gooseberryrock/allotments/allotment_policy.h"
#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/extra_attempt_limit.h"
#include "gooseberryrock/transport/caller_limits.h"
#include "gooseberryrock/transport/endpoint.h"

namespace gooseberryrock::entry {

struct EntrySettings {
  std::string cluster;
  // At least 32 characters.
  std::string cluster_key;
  // The numeric IP address, which identifies the node among all nodes.
  NodeId node;
  FailureDomain failure_domain;
  // Must be the same on all nodes of a deployment.
  uint16_t peer_port = 0;
  // Initial control VMs, which report the others.
  std::vector<NodeId> control_vms;
  transport::Endpoint caller_endpoint;
  // Address at which other entry nodes pass on requests to gather; the port
  // must be the same on all nodes. With port 0 this node neither gathers for
  // others nor passes requests on.
  transport::Endpoint gather_endpoint;
  transport::Endpoint ready_endpoint;
  // Address of the metrics server; metrics are not served if the host is empty.
  transport::Endpoint metrics_endpoint;
  // Number of I/O shards, each with its own thread; usually one per core.
  unsigned io_shards = 1;
  // Memory that replies may take, from the servers to the callers.
  size_t reply_memory_bytes = size_t{40} << 20U;
  // Memory that callers' heads, bodies and requests may take.
  size_t caller_memory_bytes = size_t{40} << 20U;
  // Limits on callers' connections; those that are 0 are derived from the
  // descriptors of the process.
  transport::ConnectionLimits caller_connections;
  relay::ExtraAttemptLimit extra_attempts;
  // Whether servers are chosen by the slowness that they state, and whether
  // gathered requests are refused that unresponsive shards would probably fail.
  bool use_stated_slowness = false;
  bool refuse_unresponsive = true;
  allotments::AllotmentPolicy allotments;
  // Polling of control VMs; one that has not replied for the timeout is not
  // relied on.
  Duration poll_interval = std::chrono::milliseconds(250);
  Duration poll_reply_timeout = std::chrono::milliseconds(750);
  // Time after which new routes are followed while some nodes gather for all:
  // those know them as well by then.
  Duration route_adoption_delay = std::chrono::milliseconds(625);
  // Callers with keys are served only while the routes were known to be the
  // newest ones at most this long ago; zero means always.
  Duration route_confirmation_lifetime = Duration::zero();
  // How long servers are used that a control VM knew before its restart and
  // that have not announced themselves.
  Duration remembered_server_lifetime = std::chrono::milliseconds(2500);
  Duration peer_heartbeat_interval = std::chrono::milliseconds(500);
  Duration peer_heartbeat_timeout = std::chrono::milliseconds(1500);
  // Time from the stop signal to the end of the process.
  Duration stop_time = std::chrono::seconds(6);
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_ENTRY_SETTINGS_H_
