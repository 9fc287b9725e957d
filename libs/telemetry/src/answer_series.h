// The measurements for one combination of service, rank and tenant.

#ifndef GOOSEBERRYROCK_TELEMETRY_SRC_ANSWER_SERIES_H_
#define GOOSEBERRYROCK_TELEMETRY_SRC_ANSWER_SERIES_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::telemetry {

struct SeriesKey {
  std::string service;
  Rank rank = Rank::kNormal;
  std::string tenant;

  auto operator<=>(const SeriesKey&) const = default;
};

// Upper bounds of the latency buckets in seconds. 0.22 is the 99th percentile
// latency target.
inline constexpr std::array kBucketBounds = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.22, 0.5, 1.0, 2.0, 5.0, 60.0};

inline constexpr std::array kQuantiles = {0.5, 0.95, 0.99};

inline constexpr std::array<std::string_view, 6> kStatusLabels = {
    "complete", "partial", "not_run", "outcome_unknown", "failed", "other"};

namespace accumulators = boost::accumulators;

using LatencySummary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::mean,
                        accumulators::tag::extended_p_square>>;
using CoverageSummary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::mean>>;
// The last bin counts values above the last bound.
using LatencyAxis = boost::histogram::axis::variable<
    double,
    boost::use_default,
    boost::histogram::axis::option::overflow_t>;
using LatencyHistogram =
    boost::histogram::histogram<std::tuple<LatencyAxis>,
                                boost::histogram::dense_storage<uint64_t>>;

struct AnswerSeries {
  AnswerSeries();

  std::array<uint64_t, kStatusLabels.size()> answers = {};
  LatencySummary latency;
  LatencyHistogram buckets;
  CoverageSummary coverage;
};

void Add(AnswerSeries& series, const AnswerSample& sample);

// Returns the latencies at kQuantiles in seconds, estimated over the lifetime
// of the series; empty if there are too few samples.
std::vector<double> EstimateQuantiles(const AnswerSeries& series);

// Number of samples in each bucket, not cumulative. The last bucket is above
// all bounds.
std::array<uint64_t, kBucketBounds.size() + 1> BucketCounts(
    const AnswerSeries& series);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_SRC_ANSWER_SERIES_H_
