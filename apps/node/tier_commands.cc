// The commands of gbrnode that run one role.

#include "tier_commands.h"

#include <google/protobuf/stubs/logging.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <functional>
#include <system_error>
#include <vector>

#include "gooseberryrock/control/control_node.h"
#include "gooseberryrock/control/control_settings.h"
#include "gooseberryrock/entry/entry_node.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/platform/control_dialect.h"
#include "gooseberryrock/platform/entry_dialect.h"
#include "gooseberryrock/settings/settings_error.h"
#include "gooseberryrock/settings/tier_settings.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock {

namespace {

using settings::TierRole;
using settings::TierSettings;
using telemetry::LogEvent;
using telemetry::LogLevel;

// A settings file that changed without a signal is noticed within this time.
constexpr std::chrono::seconds kSettingsCheck{2};

std::vector<NodeId> ControlVmsOf(const TierSettings& settings) {
  std::vector<NodeId> nodes;
  for (const settings::Address& it : settings.control_vms) {
    nodes.push_back({it.host});
  }
  return nodes;
}

transport::Endpoint EndpointOf(const settings::Address& address) {
  return {address.host, address.port};
}

// Blocks the handled signals in all threads started from now on.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

std::filesystem::file_time_type ModifiedAt(const std::string& path) {
  std::error_code ec;
  const auto time = std::filesystem::last_write_time(path, ec);
  return ec ? std::filesystem::file_time_type() : time;
}

// Only the control VMs are taken over while the node runs; other settings need
// a restart.
void Reload(const std::string& path,
            TierRole role,
            const std::function<void(const std::vector<NodeId>&)>& add) {
  try {
    const TierSettings settings = settings::LoadTierSettings(path, role);
    add(ControlVmsOf(settings));
    LogEvent(LogLevel::kInfo, "settings_reloaded",
             {{"control_vms", std::to_string(settings.control_vms.size())}});
  } catch (const settings::SettingsError& e) {
    LogEvent(LogLevel::kError, "settings_refused", {{"error", e.what()}});
  }
}

// Follows changes of the settings until a stop signal comes.
void WaitForStop(const sigset_t& signals,
                 const std::string& path,
                 TierRole role,
                 const std::function<void(const std::vector<NodeId>&)>& add) {
  auto modified_at = ModifiedAt(path);
  const timespec wait = {kSettingsCheck.count(), 0};
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &wait);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    const auto now = ModifiedAt(path);
    if (signal == SIGHUP || now != modified_at) {
      modified_at = now;
      Reload(path, role, add);
    }
  }
}

TierSettings Prepare(const std::string& path, TierRole role) {
  TierSettings settings = settings::LoadTierSettings(path, role);
  telemetry::InitializeLog(LogLevel::kInfo);
  // Malformed messages are reported as typed errors; protobuf would also write
  // its own lines into the log.
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

// Returns when the node has stopped serving. The process then ends without
// taking the node apart: nothing is pending on disk, and ending the threads and
// sockets has taken longer than the stop time on the users' platform.
template <typename Node>
[[noreturn]] void Serve(Node& node,
                        const sigset_t& signals,
                        const TierSettings& settings,
                        const std::string& path,
                        TierRole role) {
  WaitForStop(signals, path, role, [&node](const std::vector<NodeId>& it) {
    node.AddControlVms(it);
  });
  LogEvent(LogLevel::kInfo, "node_draining", {{"node", settings.name}});
  node.Drain();
  LogEvent(LogLevel::kInfo, "node_stopped", {{"node", settings.name}});
  telemetry::FlushLog();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

void RunEntryNode(const std::string& settings_path) {
  const TierSettings settings = Prepare(settings_path, TierRole::kEntry);
  entry::EntrySettings entry;
  entry.cluster = settings.cluster;
  entry.cluster_key = settings.cluster_key;
  entry.node = {settings.address};
  entry.failure_domain = settings.failure_domain;
  entry.peer_port = settings.peer_port;
  entry.control_vms = ControlVmsOf(settings);
  entry.caller_endpoint = EndpointOf(settings.caller_address);
  entry.ready_endpoint = EndpointOf(settings.ready_address);
  entry.metrics_endpoint = EndpointOf(settings.metrics_address);
  entry.io_shards = settings.cores;
  entry.extra_attempts = {settings.extra_attempt_share, settings.extra_attempts,
                          settings.extra_attempt_window};
  entry.stop_time = settings.stop_time;
  const sigset_t signals = BlockSignals();
  entry::EntryNode node(entry, platform::EntryDialect());
  Serve(node, signals, settings, settings_path, TierRole::kEntry);
}

void RunControlNode(const std::string& settings_path) {
  const TierSettings settings = Prepare(settings_path, TierRole::kControl);
  control::ControlSettings control;
  control.cluster = settings.cluster;
  control.cluster_key = settings.cluster_key;
  control.node = {settings.address};
  control.failure_domain = settings.failure_domain;
  control.peer_port = settings.peer_port;
  control.control_vms = ControlVmsOf(settings);
  control.first_start = settings.first_start;
  control.data_folder = settings.data_folder;
  control.endpoint = EndpointOf(settings.control_address);
  control.metrics_endpoint = EndpointOf(settings.metrics_address);
  control.tolerated_losses = settings.tolerated_losses;
  const sigset_t signals = BlockSignals();
  control::ControlNode node(control, platform::ControlDialect());
  Serve(node, signals, settings, settings_path, TierRole::kControl);
}

}  // namespace gooseberryrock
