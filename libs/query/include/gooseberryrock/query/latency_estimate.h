// Distribution of recent latencies of one service and rank. Samples decay with
// a half-life of one second, so the estimate follows a change in load within a
// few seconds.

#ifndef GOOSEBERRYROCK_QUERY_LATENCY_ESTIMATE_H_
#define GOOSEBERRYROCK_QUERY_LATENCY_ESTIMATE_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <optional>
#include <tuple>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::
                   regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<double>>;

// Logarithmic bins from 0.1 ms to 10 s.
LatencyHistogram MakeLatencyHistogram();

struct LatencyEstimate {
  LatencyHistogram histogram = MakeLatencyHistogram();
  // Sum of the weights in `histogram`.
  double weight = 0;
  SteadyTime halved_at;
};

void RecordLatency(LatencyEstimate& estimate, Duration latency, SteadyTime now);

// Returns the given quantile of the recent latencies, or nothing while there
// are too few samples.
std::optional<Duration> LatencyQuantile(const LatencyEstimate& estimate,
                                        double quantile);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_LATENCY_ESTIMATE_H_
