// Metrics of a simulation run and their report.

#ifndef GOOSEBERRYROCK_TESTS_QUERY_BENCH_REPORT_H_
#define GOOSEBERRYROCK_TESTS_QUERY_BENCH_REPORT_H_

#include <optional>
#include <string>

#include "simulation.h"

namespace gooseberryrock::query::sim {

// Queries that arrived in [from, to) seconds after the start.
struct Window {
  double from = 0;
  double to = 0;
  std::optional<Rank> rank;
};

// Latency in ms of the queries that were not refused before their start.
double LatencyMs(const Simulation& run, const Window& window, double quantile);
// Share of all queries with a complete answer by their deadline.
double OnTimeShare(const Simulation& run, const Window& window);
// Queries with a complete answer by their deadline, per second of the window.
double Goodput(const Simulation& run, const Window& window);
// Median time until a refusal, as a fraction of the deadline; 0 without
// refusals.
double MedianRefusal(const Simulation& run, const Window& window);

enum class Bound { kAtMost, kAtLeast };

// Prints `name value unit bound pass|fail baseline=value` and fails the running
// test when the bound is not met.
void Report(const std::string& name,
            double value,
            const std::string& unit,
            Bound kind,
            double bound,
            double baseline);

}  // namespace gooseberryrock::query::sim

#endif  // GOOSEBERRYROCK_TESTS_QUERY_BENCH_REPORT_H_
