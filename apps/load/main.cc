// gbrload: test program that sends requests to the nodes at a given rate,
// checks the answers and prints statistics.

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "gooseberryrock/base/error.h"
#include "load_options.h"
#include "load_report.h"
#include "load_run.h"

namespace {

using gooseberryrock::load::LoadOptions;

// Returns the exit code, which is a failure when any answer was wrong.
int RunAndReport(const LoadOptions& options) {
  const auto samples = gooseberryrock::load::RunLoad(options);
  gooseberryrock::load::PrintTable(samples, std::cout);
  if (!options.csv_path.empty()) {
    std::ofstream csv(options.csv_path);
    gooseberryrock::load::PrintCsv(samples, csv);
    if (!csv.flush()) {
      std::cerr << "gbrload: cannot write " << options.csv_path << "\n";
      return EXIT_FAILURE;
    }
  }
  return gooseberryrock::load::CountWrongAnswers(samples) == 0 ? EXIT_SUCCESS
                                                               : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  LoadOptions options;
  double seconds = 5;
  std::vector<double> rates = {20, 20, 20};
  std::vector<int64_t> deadlines_ms = {500, 500, 500};
  CLI::App app("Sends requests at a given rate and checks the answers");
  app.add_option("--nodes", options.nodes, "host:port of the nodes")
      ->required();
  app.add_option("--service", options.service)->required();
  app.add_option("--seconds", seconds, "Length of the run");
  app.add_option("--rates", rates,
                 "Requests per second: urgent, normal, background")
      ->expected(3);
  app.add_option("--deadlines-ms", deadlines_ms,
                 "Deadlines: urgent, normal, background")
      ->expected(3);
  app.add_option("--seed", options.seed);
  app.add_option("--tenants", options.tenants);
  app.add_option("--booking-share", options.booking_share,
                 "Share of requests that are not idempotent");
  app.add_option("--resend-share", options.resend_share,
                 "Share of requests whose id is sent twice");
  app.add_option("--threads", options.threads, "Requests in flight at most")
      ->check(CLI::Range(1, 1000));
  app.add_option("--text", options.text);
  app.add_option("--csv", options.csv_path,
                 "File for the figures of each second");
  CLI11_PARSE(app, argc, argv);
  options.duration = std::chrono::duration_cast<gooseberryrock::Duration>(
      std::chrono::duration<double>(seconds));
  for (size_t i = 0; i < options.ranks.size(); ++i) {
    options.ranks[i].rate = rates[i];
    options.ranks[i].deadline = std::chrono::milliseconds(deadlines_ms[i]);
  }
  try {
    return RunAndReport(options);
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrload: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
