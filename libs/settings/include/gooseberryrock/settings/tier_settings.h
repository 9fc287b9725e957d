// What an entry node or a control VM of a deployment without a list of nodes is
// told at its start.

#ifndef GOOSEBERRYROCK_SETTINGS_TIER_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_TIER_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/settings/settings.h"

namespace gooseberryrock::settings {

struct TierSettings {
  std::string cluster;
  // At least 32 characters.
  std::string cluster_key;
  // For people; nodes know each other by address.
  std::string name;
  // The numeric IP address.
  std::string address;
  FailureDomain failure_domain;
  // The same on all nodes.
  uint16_t peer_port = 0;
  // Control VMs to begin with. Only the host counts for other nodes.
  std::vector<Address> control_vms;
  // The whole deployment starts for the first time.
  bool first_start = false;
  // Only for a control VM.
  std::string data_folder;
  Address control_address;
  // Only for an entry node.
  Address caller_address;
  Address ready_address;
  // Where the metrics are served; nowhere when the host is empty.
  Address metrics_address;
  unsigned cores = 1;
  // Attempts beyond the first of a request that all entry nodes together may
  // send to a service: this share of its requests and a fixed number in each
  // window. The defaults are those of today's smallest deployment.
  double extra_attempt_share = 0.2;
  double extra_attempts = 52;
  Duration extra_attempt_window = std::chrono::seconds(10);
  // VMs whose loss the replicated log has to bear at the same time.
  uint32_t tolerated_losses = 1;
  // From the stop signal to the end of the process.
  Duration stop_time = std::chrono::seconds(6);
};

enum class TierRole { kEntry, kControl };

// Reads the JSON file with comments at `path`. Throws SettingsError that names
// every problem of the fields that `role` needs.
TierSettings LoadTierSettings(const std::string& path, TierRole role);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_TIER_SETTINGS_H_
