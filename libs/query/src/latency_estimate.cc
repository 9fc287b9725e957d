// Distribution of recent latencies of one service and rank.

#include "gooseberryrock/query/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace gooseberryrock::query {

namespace {

constexpr Duration kHalfLife = std::chrono::seconds(1);
// 120 bins over 5 decades: each bin is 10% wide.
constexpr int kBins = 120;
constexpr double kShortestMs = 0.1;
constexpr double kLongestMs = 10'000;
// With fewer samples, p95 is close to the maximum.
constexpr double kMinWeight = 20;

double ToMs(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

LatencyHistogram MakeLatencyHistogram() {
  return LatencyHistogram(std::make_tuple(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          kBins, kShortestMs, kLongestMs)));
}

void RecordLatency(LatencyEstimate& estimate,
                   Duration latency,
                   SteadyTime now) {
  if (now - estimate.halved_at >= kHalfLife) {
    const auto halvings = (now - estimate.halved_at) / kHalfLife;
    const double factor = std::pow(0.5, std::min<int64_t>(halvings, 64));
    estimate.histogram *= factor;
    estimate.weight *= factor;
    estimate.halved_at = now;
  }
  estimate.histogram(std::clamp(ToMs(latency), kShortestMs, kLongestMs * 0.99));
  estimate.weight += 1;
}

std::optional<Duration> LatencyQuantile(const LatencyEstimate& estimate,
                                        double quantile) {
  if (estimate.weight < kMinWeight) {
    return std::nullopt;
  }
  const double wanted = quantile * estimate.weight;
  double sum = 0;
  const auto& axis = estimate.histogram.axis();
  for (int i = 0; i < axis.size(); ++i) {
    sum += estimate.histogram.at(i);
    if (sum >= wanted) {
      return FromMs(axis.bin(i).upper());
    }
  }
  return FromMs(kLongestMs);
}

}  // namespace gooseberryrock::query
