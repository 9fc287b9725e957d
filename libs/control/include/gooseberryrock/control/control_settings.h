// Startup settings of a control VM.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/allotments/allotment_policy.h"
#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/caller_limits.h"
#include "gooseberryrock/transport/endpoint.h"

namespace gooseberryrock::control {

struct ControlSettings {
  std::string cluster;
  // At least 32 characters.
  std::string cluster_key;
  // Numeric IP address; identifies the VM among all nodes.
  NodeId node;
  FailureDomain failure_domain;
  // Must be the same on all nodes of a deployment.
  uint16_t peer_port = 0;
  // Initially known control VMs; others are discovered through them.
  std::vector<NodeId> control_vms;
  // First start of the deployment: the VMs of `control_vms` create a new
  // replicated log. Otherwise a VM with an empty data folder joins the existing
  // log.
  bool first_start = false;
  std::string data_folder;
  transport::Endpoint endpoint;
  // Endpoint for metrics; disabled if the host is empty.
  transport::Endpoint metrics_endpoint;
  // Memory that requests of operators and backend servers may take.
  size_t caller_memory_bytes = size_t{16} << 20U;
  // Limits on their connections; those that are 0 are derived from the
  // descriptors of the process.
  transport::ConnectionLimits caller_connections;
  // Number of simultaneous VM failures that the replicated log must tolerate.
  uint32_t tolerated_losses = 1;
  // Time after the start of a lost VM's successor, or after the return of a VM,
  // from which on the next loss must be tolerated.
  Duration replacement_time = std::chrono::seconds(4);
  // Time after a start for which the servers of the stored list are named to
  // entry nodes.
  Duration remembered_servers_time = std::chrono::milliseconds(1200);
  // Interval at which the leader is asked for the newest version of the routes;
  // zero if entry nodes do not depend on it.
  Duration route_confirmation_interval = Duration::zero();
  allotments::AllotmentPolicy allotments;
  Duration peer_heartbeat_interval = std::chrono::milliseconds(500);
  Duration peer_heartbeat_timeout = std::chrono::milliseconds(1500);
  // Time for calls in progress, and for the handover of the vote, when the VM
  // stops.
  Duration drain_time = std::chrono::seconds(2);
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_
