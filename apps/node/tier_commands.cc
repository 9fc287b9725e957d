// Subcommands of gbrnode that run one role of a deployment whose nodes discover
// each other.

#include "tier_commands.h"

#include <google/protobuf/stubs/logging.h>
#include <malloc.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <functional>
#include <iostream>
#include <system_error>
#include <vector>

#include "block_signals.h"
#include "gooseberryrock/control/control_node.h"
#include "gooseberryrock/control/control_settings.h"
#include "gooseberryrock/control/log_recovery.h"
#include "gooseberryrock/entry/entry_node.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/incarnation.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/platform/control_codec.h"
#include "gooseberryrock/platform/entry_codec.h"
#include "gooseberryrock/settings/settings_error.h"
#include "gooseberryrock/settings/tier_intervals.h"
#include "gooseberryrock/settings/tier_settings.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/caller_limits.h"

namespace gooseberryrock {

namespace {

using settings::TierRole;
using settings::TierSettings;
using telemetry::LogEvent;
using telemetry::LogLevel;

// Interval between checks of the modification time of the settings file, which
// find changes that come without SIGHUP.
constexpr std::chrono::seconds kSettingsCheckInterval{2};

// Share of the memory of a VM that replies may take. While one is copied to a
// larger block, it takes three times its size; requests, routes and connections
// need memory as well.
constexpr size_t kReplyMemoryDivisor = 4;
// Part of the memory for requests of callers. With a quarter, bodies, heads and
// answers together took 32.6 MB of 33.6 MB on a VM of 32 MiB.
constexpr size_t kCallerMemoryDivisor = 6;
// Larger blocks are mapped by themselves, so that the memory of bodies and
// answers goes back to the system when they are freed; otherwise small blocks
// that were allocated later keep the heap at its greatest size.
constexpr int kMapBytes = 64 << 10;

size_t CallerMemoryBytes(const TierSettings& settings) {
  const size_t bytes = size_t{settings.memory_mb} << 20U;
  return settings.caller_memory_mb > 0
             ? size_t{settings.caller_memory_mb} << 20U
             : bytes / kCallerMemoryDivisor;
}

// Throws SettingsError if the limits on connections exceed the descriptors.
transport::ConnectionLimits CallerConnections(const TierSettings& settings) {
  const size_t descriptors = transport::DescriptorLimit();
  if (settings.caller_connections >= descriptors) {
    throw settings::SettingsError(
        "/caller_connections: must be below the limit on open descriptors, "
        "which is " +
        std::to_string(descriptors));
  }
  return {settings.caller_connections, settings.caller_connections_per_address};
}

std::vector<NodeId> ControlVmIds(const TierSettings& settings) {
  std::vector<NodeId> nodes;
  for (const settings::Address& it : settings.control_vms) {
    nodes.push_back({it.host});
  }
  return nodes;
}

transport::Endpoint ToEndpoint(const settings::Address& address) {
  return {address.host, address.port};
}

allotments::AllotmentPolicy AllotmentPolicyOf(const TierSettings& settings) {
  return {settings.allotment_window, settings.allotment_overage,
          settings.allotment_slack};
}

std::filesystem::file_time_type ModificationTime(const std::string& path) {
  std::error_code ec;
  const auto time = std::filesystem::last_write_time(path, ec);
  return ec ? std::filesystem::file_time_type() : time;
}

// Applies a changed list of control VMs to the running node. Changes of other
// settings take effect only after a restart.
void ReloadSettings(
    const std::string& path,
    TierRole role,
    const std::function<void(const std::vector<NodeId>&)>& add_control_vms) {
  try {
    const TierSettings settings = settings::LoadTierSettings(path, role);
    add_control_vms(ControlVmIds(settings));
    LogEvent(LogLevel::kInfo, "settings_reloaded",
             {{"control_vms", std::to_string(settings.control_vms.size())}});
  } catch (const settings::SettingsError& e) {
    LogEvent(LogLevel::kError, "settings_refused", {{"error", e.what()}});
  }
}

// Reloads changed settings until a stop signal arrives.
void ReloadUntilStopSignal(
    const sigset_t& signals,
    const std::string& path,
    TierRole role,
    const std::function<void(const std::vector<NodeId>&)>& add_control_vms) {
  auto modified_at = ModificationTime(path);
  const timespec wait = {kSettingsCheckInterval.count(), 0};
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &wait);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    const auto now = ModificationTime(path);
    if (signal == SIGHUP || now != modified_at) {
      modified_at = now;
      ReloadSettings(path, role, add_control_vms);
    }
  }
}

TierSettings LoadSettingsAndInitializeLog(const std::string& path,
                                          TierRole role) {
  mallopt(M_MMAP_THRESHOLD, kMapBytes);
  TierSettings settings = settings::LoadTierSettings(path, role);
  telemetry::InitializeLog(LogLevel::kInfo);
  // Malformed messages are reported as typed errors. Without this, protobuf
  // would also write its own lines to the log.
  google::protobuf::SetLogHandler(nullptr);
  LogEvent(LogLevel::kInfo, "node_started",
           {{"node", settings.name},
            {"address", settings.address},
            {"role", role == TierRole::kEntry ? "entry" : "control"},
            {"version", GOOSEBERRYROCK_VERSION},
            {"failure_domain", settings.failure_domain.value},
            {"first_start", settings.first_start ? "true" : "false"}});
  return settings;
}

// Serves until a stop signal, drains the node and exits the process without
// running destructors: no write to disk is pending, and joining threads and
// closing sockets has taken longer than the platform's stop timeout.
template <typename Node>
[[noreturn]] void ServeUntilStopped(Node& node,
                                    const sigset_t& signals,
                                    const TierSettings& settings,
                                    const std::string& path,
                                    TierRole role) {
  ReloadUntilStopSignal(
      signals, path, role,
      [&node](const std::vector<NodeId>& it) { node.AddControlVms(it); });
  LogEvent(LogLevel::kInfo, "node_draining", {{"node", settings.name}});
  node.Drain();
  LogEvent(LogLevel::kInfo, "node_stopped", {{"node", settings.name}});
  telemetry::FlushLog();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

void RunEntryNode(const std::string& settings_path) {
  const sigset_t signals = BlockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const TierSettings settings =
      LoadSettingsAndInitializeLog(settings_path, TierRole::kEntry);
  entry::EntrySettings entry;
  entry.cluster = settings.cluster;
  entry.cluster_key = settings.cluster_key;
  entry.node = {settings.address};
  entry.failure_domain = settings.failure_domain;
  entry.peer_port = settings.peer_port;
  entry.control_vms = ControlVmIds(settings);
  entry.caller_endpoint = ToEndpoint(settings.caller_address);
  entry.gather_endpoint = {settings.address, settings.gather_port};
  entry.ready_endpoint = ToEndpoint(settings.ready_address);
  entry.metrics_endpoint = ToEndpoint(settings.metrics_address);
  entry.io_shards = settings.cores;
  entry.reply_memory_bytes =
      (size_t{settings.memory_mb} << 20U) / kReplyMemoryDivisor;
  entry.caller_memory_bytes = CallerMemoryBytes(settings);
  entry.caller_connections = CallerConnections(settings);
  entry.extra_attempts = {settings.extra_attempt_share, settings.extra_attempts,
                          settings.extra_attempt_window};
  entry.use_stated_slowness = settings.use_stated_slowness;
  entry.refuse_unresponsive = settings.refuse_unresponsive;
  entry.allotments = AllotmentPolicyOf(settings);
  entry.stop_time = settings.stop_time;
  const settings::TierIntervals intervals =
      settings::MakeTierIntervals(settings);
  entry.poll_interval = intervals.poll_interval;
  entry.poll_reply_timeout = intervals.poll_reply_timeout;
  entry.route_adoption_delay = intervals.route_adoption_delay;
  entry.remembered_server_lifetime = intervals.remembered_server_lifetime;
  entry.route_confirmation_lifetime = intervals.route_confirmation_lifetime;
  entry.peer_heartbeat_interval = intervals.peer_heartbeat_interval;
  entry.peer_heartbeat_timeout = intervals.peer_heartbeat_timeout;
  entry::EntryNode node(entry, platform::GetEntryCodec());
  ServeUntilStopped(node, signals, settings, settings_path, TierRole::kEntry);
}

void RunControlNode(const std::string& settings_path) {
  const sigset_t signals = BlockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const TierSettings settings =
      LoadSettingsAndInitializeLog(settings_path, TierRole::kControl);
  control::ControlSettings control;
  control.cluster = settings.cluster;
  control.cluster_key = settings.cluster_key;
  control.node = {settings.address};
  control.failure_domain = settings.failure_domain;
  control.peer_port = settings.peer_port;
  control.control_vms = ControlVmIds(settings);
  control.first_start = settings.first_start;
  control.data_folder = settings.data_folder;
  control.endpoint = ToEndpoint(settings.control_address);
  control.metrics_endpoint = ToEndpoint(settings.metrics_address);
  control.allotments = AllotmentPolicyOf(settings);
  control.caller_memory_bytes = CallerMemoryBytes(settings);
  control.caller_connections = CallerConnections(settings);
  control.tolerated_losses = settings.tolerated_losses;
  control.replacement_time = settings.replacement_time;
  const settings::TierIntervals intervals =
      settings::MakeTierIntervals(settings);
  control.remembered_servers_time = intervals.remembered_servers_time;
  control.route_confirmation_interval = intervals.route_confirmation_interval;
  control.peer_heartbeat_interval = intervals.peer_heartbeat_interval;
  control.peer_heartbeat_timeout = intervals.peer_heartbeat_timeout;
  control.drain_time = intervals.control_drain_time;
  control::ControlNode node(control, platform::GetControlCodec());
  ServeUntilStopped(node, signals, settings, settings_path, TierRole::kControl);
}

void RecoverLog(const std::string& settings_path, bool confirmed) {
  const TierSettings settings =
      settings::LoadTierSettings(settings_path, TierRole::kControl);
  const NodeId node = {settings.address};
  // Throws if the VM runs: its process holds the address.
  peer::PeerSocketOptions options;
  options.cluster = settings.cluster;
  options.cluster_key = settings.cluster_key;
  options.self = {node, node.value, settings.peer_port};
  options.incarnation = peer::MakeIncarnation();
  const peer::PeerSocket address(options, [](const peer::PeerFrame&) {});
  const control::StoredLog log =
      confirmed
          ? control::MakeSoleVoter(settings.data_folder, settings.cluster, node)
          : control::ReadStoredLog(settings.data_folder, settings.cluster,
                                   node);
  std::cout << "last entry: term " << log.last.term << ", index "
            << log.last.index << "\nvoters:";
  for (const auto& [id, member] : log.membership.members) {
    std::cout << (member.voter ? " " + id.value : "");
  }
  std::cout << "\nlearners:";
  for (const auto& [id, member] : log.membership.members) {
    std::cout << (member.voter ? "" : " " + id.value);
  }
  std::cout << "\n";
}

}  // namespace gooseberryrock
