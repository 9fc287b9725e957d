// Metrics of a simulation run and their report.

#include "bench_report.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace gooseberryrock::query::sim {

namespace {

template <typename Function>
void ForEach(const Simulation& run, const Window& window, Function function) {
  const SteadyTime start{std::chrono::seconds(1000)};
  for (const Outcome& it : run.outcomes) {
    const std::chrono::duration<double> at = it.arrived - start;
    if (at.count() >= window.from && at.count() < window.to &&
        (!window.rank || *window.rank == it.rank)) {
      function(it);
    }
  }
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(quantile * last)];
}

}  // namespace

double LatencyMs(const Simulation& run, const Window& window, double quantile) {
  std::vector<double> values;
  ForEach(run, window, [&](const Outcome& it) {
    if (!it.refused) {
      values.push_back(
          std::chrono::duration<double, std::milli>(it.latency).count());
    }
  });
  return Quantile(std::move(values), quantile);
}

double OnTimeShare(const Simulation& run, const Window& window) {
  double all = 0;
  double on_time = 0;
  ForEach(run, window, [&](const Outcome& it) {
    all += 1;
    on_time += it.on_time() ? 1 : 0;
  });
  return all > 0 ? on_time / all : 0;
}

double Goodput(const Simulation& run, const Window& window) {
  double on_time = 0;
  ForEach(run, window,
          [&](const Outcome& it) { on_time += it.on_time() ? 1 : 0; });
  return on_time / (window.to - window.from);
}

double MedianRefusal(const Simulation& run, const Window& window) {
  std::vector<double> values;
  ForEach(run, window, [&](const Outcome& it) {
    if (it.refused) {
      values.push_back(std::chrono::duration<double>(it.latency) /
                       std::chrono::duration<double>(it.deadline));
    }
  });
  return Quantile(std::move(values), 0.5);
}

void Report(const std::string& name,
            double value,
            const std::string& unit,
            Bound kind,
            double bound,
            double baseline) {
  const bool at_most = kind == Bound::kAtMost;
  const bool pass = at_most ? value <= bound : value >= bound;
  std::printf("%s %.4g %s %s%.4g %s baseline=%.4g\n", name.c_str(), value,
              unit.c_str(), at_most ? "<=" : ">=", bound,
              pass ? "pass" : "fail", baseline);
  std::fflush(stdout);
  EXPECT_TRUE(pass) << name << " misses its bound";
}

}  // namespace gooseberryrock::query::sim
