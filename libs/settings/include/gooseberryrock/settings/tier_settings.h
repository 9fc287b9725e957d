// Start-up settings of an entry node or a control VM in a deployment whose
// nodes are discovered at run time instead of listed in the settings.

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
  // Used in logs only; nodes identify each other by address.
  std::string name;
  // Numeric IP address of the node; identifies it to the others.
  std::string address;
  FailureDomain failure_domain;
  // Must be the same on all nodes.
  uint16_t peer_port = 0;
  // Control VMs to contact at start. Of their addresses only the host is used.
  std::vector<Address> control_vms;
  // Set when the whole deployment starts for the first time.
  bool first_start = false;
  // Control VM only.
  std::string data_folder;
  Address control_address;
  // Entry node only.
  Address caller_address;
  Address ready_address;
  // Port at `address` for requests that one entry node passes on to another;
  // must be the same on all nodes. 0: each entry node gathers for itself.
  uint16_t gather_port = 0;
  // Address of the metrics endpoint. Disabled when the host is empty.
  Address metrics_address;
  unsigned cores = 1;
  // Memory of the VM for this process. The default suits the smallest VM.
  unsigned memory_mb = 160;
  // Part of it that heads, bodies and requests of callers may take; 0 means a
  // sixth.
  unsigned caller_memory_mb = 0;
  // Limits on connections of callers, in total and from each address; 0 means
  // that they are derived from the limit on open descriptors.
  unsigned caller_connections = 0;
  unsigned caller_connections_per_address = 0;
  // Budget for retries and hedges (attempts beyond the first of a request) that
  // all entry nodes together may send to a service in each window: this share
  // of its requests plus a fixed number. The defaults suit the smallest
  // deployment.
  double extra_attempt_share = 0.2;
  double extra_attempts = 52;
  Duration extra_attempt_window = std::chrono::seconds(10);
  // Whether entry nodes choose servers by the slowness that they state. Off,
  // because it costs answers in time on the deployments that were measured
  // (docs/design/server-load.md).
  bool use_stated_slowness = false;
  // Whether they refuse gathered requests at once that unresponsive shards
  // would probably fail.
  bool refuse_unresponsive = true;
  // In each window an organisation with an allotment may send
  // (rate * window + burst) * (1 + overage) + slack requests.
  Duration allotment_window = std::chrono::seconds(5);
  double allotment_overage = 0.1;
  double allotment_slack = 20;
  // Number of simultaneous VM losses that the replicated log must survive.
  uint32_t tolerated_losses = 1;
  // Time after the start of a lost VM's successor, or after the return of a VM,
  // from which on the next loss must be survived.
  Duration replacement_time = std::chrono::seconds(4);
  // Time after a disturbance from which on a node must act on what the others
  // know.
  Duration contact_time = std::chrono::seconds(4);
  // Time from the acknowledgement of new routes until they are in force at all
  // nodes.
  Duration route_change_time = std::chrono::seconds(3);
  // Time from the acknowledgement that a server drains until it gets no more
  // requests.
  Duration server_drain_time = std::chrono::seconds(3);
  // Time from the acknowledgement that a key was taken away until no node
  // serves callers with it, also one that is cut off; zero if there is no
  // bound.
  Duration key_revocation_time = Duration::zero();
  // Time limit from the stop signal to the exit of the process.
  Duration stop_time = std::chrono::seconds(6);
};

enum class TierRole { kEntry, kControl };

// Reads the JSON file at `path`, which may contain comments. Throws
// SettingsError, which lists every problem of the fields that `role` uses.
TierSettings LoadTierSettings(const std::string& path, TierRole role);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_TIER_SETTINGS_H_
