// gbrstandin: a stand-in backend server for tests and the quick start.

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "gooseberryrock/base/error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "standin_server.h"

int main(int argc, char** argv) {
  gooseberryrock::standin::StandinOptions options;
  CLI::App app("A stand-in backend server");
  app.add_option("--id", options.id)->required();
  app.add_option("--service", options.service)->required();
  app.add_option("--failure-domain", options.failure_domain)->required();
  app.add_option("--port", options.port)->required();
  app.add_option("--nodes", options.nodes, "host:port of the nodes")
      ->required();
  app.add_option("--shards", options.shards)->required();
  CLI11_PARSE(app, argc, argv);
  gooseberryrock::telemetry::InitializeLog(
      gooseberryrock::telemetry::LogLevel::kWarning);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    gooseberryrock::standin::StandinServer server(options);
    int signal = 0;
    sigwait(&signals, &signal);
    return EXIT_SUCCESS;
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrstandin: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
