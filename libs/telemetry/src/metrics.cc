// Counters, gauges and latency histograms of a node.

#include "gooseberryrock/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>

#include "answer_series.h"
#include "exposition.h"
#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::telemetry {

namespace {

constexpr size_t kShards = 16;
constexpr size_t kMaxTenantBytes = 64;
constexpr std::string_view kOther = "other";
constexpr std::string_view kUnknownService = "unknown";
// Tenant label of requests that name no tenant.
constexpr std::string_view kNoTenant = "none";

struct Shard {
  mutable std::mutex mutex;
  // Guarded by `mutex`.
  std::map<SeriesKey, AnswerSeries> series;
};

// The tenant is caller input. Bytes that are not printable ASCII could make the
// page invalid UTF-8 and fail the scrape.
std::string SanitizeTenant(std::string_view tenant) {
  if (tenant.empty()) {
    return std::string(kNoTenant);
  }
  std::string out(tenant.substr(0, kMaxTenantBytes));
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c < ' ' || c > '~'; }, '_');
  return out;
}

Labels LabelsOf(const SeriesKey& key) {
  return {{"service", key.service},
          {"rank", std::string(RankName(key.rank))},
          {"tenant", key.tenant}};
}

Labels With(Labels labels, std::string_view key, std::string value) {
  labels.emplace_back(key, std::move(value));
  return labels;
}

}  // namespace

struct Metrics::State {
  mutable std::shared_mutex labels_mutex;
  // Guarded by `labels_mutex`. At most kMaxTenantLabels tenants.
  std::set<std::string, std::less<>> services;
  std::set<std::string, std::less<>> tenants;

  std::array<Shard, kShards> shards;
  std::atomic<size_t> series_count = 0;
  std::array<std::atomic<uint64_t>, kCounterCount> counters = {};
  std::array<std::atomic<double>, kGaugeCount> gauges = {};
};

namespace {

using State = Metrics::State;

std::string ServiceLabel(const State& state, std::string_view service) {
  std::shared_lock lock(state.labels_mutex);
  return std::string(state.services.contains(service) ? service
                                                      : kUnknownService);
}

std::string TenantLabel(State& state, std::string_view tenant) {
  std::string label = SanitizeTenant(tenant);
  {
    std::shared_lock lock(state.labels_mutex);
    if (state.tenants.contains(label)) {
      return label;
    }
    if (state.tenants.size() >= kMaxTenantLabels) {
      return std::string(kOther);
    }
  }
  std::unique_lock lock(state.labels_mutex);
  if (state.tenants.size() >= kMaxTenantLabels &&
      !state.tenants.contains(label)) {
    return std::string(kOther);
  }
  state.tenants.insert(label);
  return label;
}

Shard& ShardOf(State& state, const SeriesKey& key) {
  const uint64_t hash =
      Hash64(key.service, Hash64(key.tenant, RankIndex(key.rank)));
  return state.shards[hash % kShards];
}

// Adds the sample unless it needs a new series and the limit is reached.
bool TryAdd(State& state, const SeriesKey& key, const AnswerSample& sample) {
  Shard& shard = ShardOf(state, key);
  std::lock_guard lock(shard.mutex);
  auto it = shard.series.find(key);
  if (it == shard.series.end()) {
    if (state.series_count.load() >= kMaxSeries && key.tenant != kOther) {
      return false;
    }
    it = shard.series.try_emplace(key).first;
    ++state.series_count;
  }
  Add(it->second, sample);
  return true;
}

// Copies the series shard by shard, so that rendering does not block answers
// for long.
std::map<SeriesKey, AnswerSeries> CopySeries(const State& state) {
  std::map<SeriesKey, AnswerSeries> all;
  for (const Shard& shard : state.shards) {
    std::lock_guard lock(shard.mutex);
    all.insert(shard.series.begin(), shard.series.end());
  }
  return all;
}

using AllSeries = std::map<SeriesKey, AnswerSeries>;

void AppendAnswers(std::string& page, const AllSeries& all) {
  AppendFamily(page, "gbr_answers_total", "Answers to callers by status.",
               "counter");
  for (const auto& [key, series] : all) {
    for (size_t i = 0; i < kStatusLabels.size(); ++i) {
      if (series.answers[i] > 0) {
        AppendSample(
            page, "gbr_answers_total",
            With(LabelsOf(key), "status", std::string(kStatusLabels[i])),
            static_cast<double>(series.answers[i]));
      }
    }
  }
}

void AppendLatencyHistogram(std::string& page, const AllSeries& all) {
  AppendFamily(page, "gbr_answer_latency_seconds",
               "Time from the arrival of a query to its answer.", "histogram");
  for (const auto& [key, series] : all) {
    const Labels labels = LabelsOf(key);
    const auto counts = BucketCounts(series);
    uint64_t cumulative = 0;
    for (size_t i = 0; i < counts.size(); ++i) {
      cumulative += counts[i];
      const double bound = i < kBucketBounds.size()
                               ? kBucketBounds[i]
                               : std::numeric_limits<double>::infinity();
      AppendSample(page, "gbr_answer_latency_seconds_bucket",
                   With(labels, "le", FormatNumber(bound)),
                   static_cast<double>(cumulative));
    }
    AppendSample(page, "gbr_answer_latency_seconds_sum", labels,
                 accumulators::sum(series.latency));
    AppendSample(page, "gbr_answer_latency_seconds_count", labels,
                 static_cast<double>(cumulative));
  }
}

void AppendLatencySummary(std::string& page, const AllSeries& all) {
  AppendFamily(page, "gbr_answer_latency_estimate_seconds",
               "Estimated quantiles of the latency since the start.",
               "summary");
  for (const auto& [key, series] : all) {
    const Labels labels = LabelsOf(key);
    const std::vector<double> estimates = EstimateQuantiles(series);
    for (size_t i = 0; i < estimates.size(); ++i) {
      AppendSample(page, "gbr_answer_latency_estimate_seconds",
                   With(labels, "quantile", FormatNumber(kQuantiles[i])),
                   estimates[i]);
    }
    AppendSample(page, "gbr_answer_latency_estimate_seconds_sum", labels,
                 accumulators::sum(series.latency));
    AppendSample(page, "gbr_answer_latency_estimate_seconds_count", labels,
                 static_cast<double>(accumulators::count(series.latency)));
  }
}

void AppendMeans(std::string& page, const AllSeries& all) {
  AppendFamily(page, "gbr_answer_latency_mean_seconds",
               "Mean latency since the start.", "gauge");
  for (const auto& [key, series] : all) {
    AppendSample(page, "gbr_answer_latency_mean_seconds", LabelsOf(key),
                 accumulators::mean(series.latency));
  }
  AppendFamily(page, "gbr_answer_coverage_mean",
               "Mean share of the addressed shards that answered, since the "
               "start.",
               "gauge");
  for (const auto& [key, series] : all) {
    if (accumulators::count(series.coverage) > 0) {
      AppendSample(page, "gbr_answer_coverage_mean", LabelsOf(key),
                   accumulators::mean(series.coverage));
    }
  }
}

}  // namespace

Metrics::Metrics() : state(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void SetServices(Metrics& metrics, const std::vector<ServiceName>& services) {
  State& state = *metrics.state;
  std::set<std::string, std::less<>> names;
  for (const ServiceName& service : services) {
    names.insert(service.value);
  }
  {
    std::unique_lock lock(state.labels_mutex);
    state.services = names;
  }
  for (Shard& shard : state.shards) {
    std::lock_guard lock(shard.mutex);
    state.series_count -= std::erase_if(shard.series, [&](const auto& it) {
      return it.first.service != kUnknownService &&
             !names.contains(it.first.service);
    });
  }
}

void RecordAnswer(Metrics& metrics, const AnswerSample& sample) {
  State& state = *metrics.state;
  SeriesKey key{ServiceLabel(state, sample.service), sample.rank,
                TenantLabel(state, sample.tenant)};
  if (!TryAdd(state, key, sample)) {
    key.tenant = kOther;
    TryAdd(state, key, sample);
  }
}

void Increment(Metrics& metrics, Counter counter, uint64_t n) {
  metrics.state->counters.at(static_cast<size_t>(counter)) += n;
}

void IncrementTo(Metrics& metrics,
                 Counter counter,
                 uint64_t& counted,
                 uint64_t total) {
  Increment(metrics, counter, total - counted);
  counted = total;
}

void SetGauge(Metrics& metrics, Gauge gauge, double value) {
  metrics.state->gauges.at(static_cast<size_t>(gauge)) = value;
}

std::string RenderMetrics(const Metrics& metrics) {
  const State& state = *metrics.state;
  std::string page;
  for (size_t i = 0; i < kCounterCount; ++i) {
    const MetricName it = NameOf(static_cast<Counter>(i));
    AppendFamily(page, it.name, it.help, "counter");
    AppendSample(page, it.name, {},
                 static_cast<double>(state.counters[i].load()));
  }
  for (size_t i = 0; i < kGaugeCount; ++i) {
    const MetricName it = NameOf(static_cast<Gauge>(i));
    AppendFamily(page, it.name, it.help, "gauge");
    AppendSample(page, it.name, {}, state.gauges[i].load());
  }
  const AllSeries all = CopySeries(state);
  AppendAnswers(page, all);
  AppendLatencyHistogram(page, all);
  AppendLatencySummary(page, all);
  AppendMeans(page, all);
  return page;
}

}  // namespace gooseberryrock::telemetry
