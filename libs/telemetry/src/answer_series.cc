// The measurements for one combination of service, rank and tenant.

#include "answer_series.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gooseberryrock::telemetry {

namespace {

// The extended P-square algorithm keeps 2n + 3 markers for n quantiles and has
// no estimate until each marker has a sample.
constexpr size_t kMinSamples = 2 * kQuantiles.size() + 3;

// The histogram bins include their lower bound.
LatencyAxis MakeLatencyAxis() {
  std::vector<double> edges = {-std::numeric_limits<double>::infinity()};
  edges.insert(edges.end(), kBucketBounds.begin(), kBucketBounds.end());
  return LatencyAxis(edges);
}

}  // namespace

AnswerSeries::AnswerSeries()
    : latency(accumulators::tag::extended_p_square::probabilities = kQuantiles),
      buckets(std::make_tuple(MakeLatencyAxis()),
              boost::histogram::dense_storage<uint64_t>()) {}

void Add(AnswerSeries& series, const AnswerSample& sample) {
  const double seconds = std::chrono::duration<double>(sample.latency).count();
  const auto it =
      std::find(kStatusLabels.begin(), kStatusLabels.end(), sample.status);
  const auto status =
      std::min<size_t>(static_cast<size_t>(it - kStatusLabels.begin()),
                       kStatusLabels.size() - 1);
  ++series.answers[status];
  series.latency(seconds);
  // `le` includes the upper bound and the bins include the lower bound, so a
  // value at a bound is moved just below it.
  series.buckets(
      std::nextafter(seconds, -std::numeric_limits<double>::infinity()));
  if (sample.coverage) {
    series.coverage(*sample.coverage);
  }
}

std::vector<double> EstimateQuantiles(const AnswerSeries& series) {
  if (accumulators::count(series.latency) < kMinSamples) {
    return {};
  }
  const auto estimates = accumulators::extended_p_square(series.latency);
  return {estimates.begin(), estimates.end()};
}

std::array<uint64_t, kBucketBounds.size() + 1> BucketCounts(
    const AnswerSeries& series) {
  std::array<uint64_t, kBucketBounds.size() + 1> counts = {};
  for (size_t i = 0; i < counts.size(); ++i) {
    counts[i] = series.buckets.at(static_cast<int>(i));
  }
  return counts;
}

}  // namespace gooseberryrock::telemetry
