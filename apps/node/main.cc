// gbrnode: a node of the query tier.

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "gooseberryrock/base/error.h"
#include "gooseberryrock/node/node.h"
#include "gooseberryrock/settings/load_settings.h"
#include "gooseberryrock/settings/settings.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace {

using gooseberryrock::telemetry::LogEvent;
using gooseberryrock::telemetry::LogLevel;

// Blocks the signals that stop the node in all threads started from now on.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Run(const std::string& settings_path) {
  const auto settings = gooseberryrock::settings::LoadSettings(settings_path);
  gooseberryrock::telemetry::InitializeLog(LogLevel::kInfo);
  const sigset_t signals = BlockStopSignals();
  gooseberryrock::node::Node node(settings);
  LogEvent(LogLevel::kInfo, "node_started", {{"node", settings.node.value}});
  int signal = 0;
  sigwait(&signals, &signal);
  LogEvent(LogLevel::kInfo, "node_draining", {{"node", settings.node.value}});
  node.Drain();
  LogEvent(LogLevel::kInfo, "node_stopped", {{"node", settings.node.value}});
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A node of the gooseberryrock query tier");
  std::string settings_path;
  app.add_option("--settings", settings_path, "Settings file")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(settings_path);
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrnode: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
