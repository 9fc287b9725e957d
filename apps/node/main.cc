// gbrnode: runs a node of the query tier.

#include <google/protobuf/stubs/logging.h>
#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "block_signals.h"
#include "gooseberryrock/base/error.h"
#include "gooseberryrock/node/node.h"
#include "gooseberryrock/settings/check_settings.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "tier_commands.h"

namespace {

using gooseberryrock::settings::Settings;
using gooseberryrock::telemetry::LogEvent;
using gooseberryrock::telemetry::LogLevel;

// Exit codes are part of the interface; see docs/commands/gbrnode.md.
constexpr int kExitFailure = 1;
constexpr int kExitInvalidSettings = 2;

// Returns when a stop signal arrives. A hang-up does not stop the node: its
// settings are read at the start only.
void WaitForStopSignal(const sigset_t& signals) {
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
    LogEvent(LogLevel::kWarning, "settings_not_reloaded",
             {{"message", "new settings need a restart"}});
  }
}

int RunNode(const Settings& settings, const sigset_t& signals) {
  // Malformed messages are reported as typed errors. Without this, protobuf
  // would also write its own lines to the log.
  google::protobuf::SetLogHandler(nullptr);
  gooseberryrock::node::Node node(settings);
  LogEvent(LogLevel::kInfo, "node_started",
           {{"node", settings.node.value},
            {"version", GOOSEBERRYROCK_VERSION},
            {"failure_domain", settings.failure_domain.value}});
  WaitForStopSignal(signals);
  LogEvent(LogLevel::kInfo, "node_draining", {{"node", settings.node.value}});
  node.Drain();
  LogEvent(LogLevel::kInfo, "node_stopped", {{"node", settings.node.value}});
  return EXIT_SUCCESS;
}

int CheckAndRun(const std::string& path, bool check_only) {
  const auto report = gooseberryrock::settings::CheckSettings(path);
  for (const std::string& problem : report.problems) {
    std::cerr << "error: " << problem << "\n";
  }
  if (check_only || !report.problems.empty()) {
    for (const std::string& warning : report.warnings) {
      std::cerr << "warning: " << warning << "\n";
    }
  }
  if (!report.problems.empty()) {
    return kExitInvalidSettings;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  const sigset_t signals = gooseberryrock::BlockSignals();
  gooseberryrock::telemetry::InitializeLog(
      gooseberryrock::telemetry::ParseLogLevel(report.settings.log_level)
          .value_or(LogLevel::kInfo));
  for (const std::string& warning : report.warnings) {
    LogEvent(LogLevel::kWarning, "settings_warning", {{"message", warning}});
  }
  return RunNode(report.settings, signals);
}

// Adds a subcommand that runs one role of a deployment whose nodes discover
// each other.
CLI::App& AddRoleCommand(CLI::App& app,
                         const char* name,
                         const char* description,
                         std::string& settings_path) {
  CLI::App& command = *app.add_subcommand(name, description);
  command
      .add_option("--settings", settings_path,
                  "Settings file: JSON with comments")
      ->required()
      ->type_name("FILE");
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A node of the gooseberryrock query tier");
  std::string settings_path;
  bool check_only = false;
  app.set_version_flag("--version", "gbrnode " GOOSEBERRYROCK_VERSION);
  auto* settings_option = app.add_option("--settings", settings_path,
                                         "Settings file: JSON with comments")
                              ->type_name("FILE");
  CLI::App& entry_command =
      AddRoleCommand(app, "entry", "Serves callers", settings_path);
  CLI::App& control_command =
      AddRoleCommand(app, "control", "Keeps the routes and the list of servers",
                     settings_path);
  bool confirmed = false;
  CLI::App& recover_command =
      AddRoleCommand(app, "recover",
                     "Shows the stored log of a stopped control VM, or makes "
                     "the VM its only voter",
                     settings_path);
  recover_command.add_flag("--sole-voter", confirmed,
                           "Give up all other copies of the log");
  app.add_flag("--check", check_only,
               "Print all problems of the settings and stop; "
               "exit code 0 (valid) or 2");
  app.footer(
      "Examples:\n"
      "  gbrnode --settings /etc/gooseberryrock/node.json --check\n"
      "  gbrnode --settings /etc/gooseberryrock/node.json\n"
      "SIGTERM stops the node after the queries in flight.");
  try {
    app.parse(argc, argv);
    if (!entry_command && !control_command && !recover_command &&
        settings_option->count() == 0) {
      throw CLI::RequiredError("--settings");
    }
  } catch (const CLI::ParseError& e) {
    // Prints the help, the version or the parse error.
    return app.exit(e) == 0 ? EXIT_SUCCESS : kExitFailure;
  }
  try {
    if (entry_command) {
      gooseberryrock::RunEntryNode(settings_path);
    }
    if (control_command) {
      gooseberryrock::RunControlNode(settings_path);
    }
    if (recover_command) {
      gooseberryrock::RecoverLog(settings_path, confirmed);
      return EXIT_SUCCESS;
    }
    return CheckAndRun(settings_path, check_only);
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrnode: " << e.what() << "\n";
    return kExitFailure;
  }
}
