// Counters, gauges and latency histograms of a node and their text exposition.

#ifndef GOOSEBERRYROCK_TELEMETRY_METRICS_H_
#define GOOSEBERRYROCK_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/telemetry/metric_names.h"

namespace gooseberryrock::telemetry {

// Number of tenants with a label of their own. The others count as "other".
inline constexpr size_t kMaxTenantLabels = 64;
// Number of combinations of service, rank and tenant. Beyond it, a new
// combination counts under the tenant "other". Each takes 1 KB of memory and
// 1.7 KB of the page, so that metrics stay under 9 MB of the 256 MB memory
// budget of the control plane.
inline constexpr size_t kMaxSeries = 8192;

// One answer to a caller.
struct AnswerSample {
  std::string_view service;
  Rank rank = Rank::kNormal;
  std::string_view tenant;
  // The query::AnswerStatusName() of the answer. Any other value counts as
  // "other".
  std::string_view status;
  Duration latency = Duration::zero();
  // Share of the addressed shards that answered, in [0, 1]. Empty if the
  // request addressed none.
  std::optional<double> coverage;
};

// All functions may be called concurrently. The state is sharded with one lock
// per shard; no call holds two locks.
struct Metrics {
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  struct State;
  const std::unique_ptr<State> state;
};

// Sets the services that have a label and drops the series of all others.
// Answers for other services count under the service "unknown".
void SetServices(Metrics& metrics, const std::vector<ServiceName>& services);

void RecordAnswer(Metrics& metrics, const AnswerSample& sample);

void Increment(Metrics& metrics, Counter counter, uint64_t n = 1);

// Adds the growth of a total that is kept elsewhere. `counted` is the part that
// was added before.
void IncrementTo(Metrics& metrics,
                 Counter counter,
                 uint64_t& counted,
                 uint64_t total);

void SetGauge(Metrics& metrics, Gauge gauge, double value);

// Returns the page in the text exposition format, version 0.0.4, to be served
// as kMetricsContentType.
std::string RenderMetrics(const Metrics& metrics);

inline constexpr std::string_view kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_METRICS_H_
