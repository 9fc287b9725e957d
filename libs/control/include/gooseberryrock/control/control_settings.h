// What a control VM is told at its start.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/endpoint.h"

namespace gooseberryrock::control {

struct ControlSettings {
  std::string cluster;
  // At least 32 characters.
  std::string cluster_key;
  // The numeric IP address; it names the VM among all nodes.
  NodeId node;
  FailureDomain failure_domain;
  // The same on all nodes of a deployment.
  uint16_t peer_port = 0;
  // Control VMs to begin with; the others are learned from them.
  std::vector<NodeId> control_vms;
  // The deployment starts for the first time: the VMs of `control_vms` begin a
  // new replicated log. Otherwise an empty data folder joins the existing one.
  bool first_start = false;
  std::string data_folder;
  transport::Endpoint endpoint;
  // Of the metrics; none are served when the host is empty.
  transport::Endpoint metrics_endpoint;
  // VMs whose loss the replicated log has to bear at the same time.
  uint32_t tolerated_losses = 1;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_SETTINGS_H_
