// gbrstandin: stand-in backend server for tests and the quick start.

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "behaviour.h"
#include "gooseberryrock/base/error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "standin_options.h"
#include "standin_server.h"

int main(int argc, char** argv) {
  gooseberryrock::standin::StandinOptions options;
  gooseberryrock::standin::HeldLayout layout;
  std::string behaviour_json;
  CLI::App app("A stand-in backend server");
  app.add_option("--id", options.id)->required();
  app.add_option("--service", options.service)->required();
  app.add_option("--failure-domain", options.failure_domain)->required();
  app.add_option("--port", options.port)->required();
  app.add_option("--control-port", options.control_port)->required();
  app.add_option("--nodes", options.nodes, "host:port of the nodes")
      ->required();
  app.add_flag("--announce-to-all", options.announce_to_all,
               "Announce to every node instead of one at a time");
  app.add_option("--labels", options.labels, "name=value pairs");
  app.add_option("--shards", layout.shards)->required();
  app.add_option("--layout-version", layout.layout_version);
  app.add_option("--index-versions", layout.index_versions);
  app.add_option("--slots", options.slots);
  app.add_option("--seed", options.seed, "Seed of the service times");
  app.add_option("--behaviour", behaviour_json,
                 "JSON as for POST /control, applied at the start");
  CLI11_PARSE(app, argc, argv);
  gooseberryrock::telemetry::InitializeLog(
      gooseberryrock::telemetry::LogLevel::kWarning);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    options.behaviour.layouts = {layout};
    if (!behaviour_json.empty()) {
      gooseberryrock::standin::ApplyControl(behaviour_json, options.behaviour);
    }
    gooseberryrock::standin::StandinServer server(options);
    int signal = 0;
    sigwait(&signals, &signal);
    return EXIT_SUCCESS;
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrstandin: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
