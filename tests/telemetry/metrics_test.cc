// Tests metrics and their text exposition.

#include "gooseberryrock/telemetry/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <thread>

namespace gooseberryrock::telemetry {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::Not;

AnswerSample Sample(std::string_view tenant, Duration latency) {
  return {"chairs", Rank::kUrgent, tenant, "complete", latency, 1.0};
}

// Returns the value on the line that starts with `name`, which may include
// labels.
double ValueOf(const std::string& page, const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  EXPECT_NE(at, std::string::npos) << name << " is not in\n" << page;
  return at == std::string::npos ? -1
                                 : std::stod(page.substr(at + name.size() + 2));
}

std::set<std::string> LabelValues(const std::string& page,
                                  const std::string& label) {
  const std::string start = label + "=\"";
  std::set<std::string> values;
  for (size_t at = page.find(start); at != std::string::npos;
       at = page.find(start, at)) {
    at += start.size();
    values.insert(page.substr(at, page.find('"', at) - at));
  }
  return values;
}

// Buckets must be cumulative and include their upper bound.
TEST(MetricsTest, HistogramIsCumulativeAndIncludesUpperBounds) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  for (int ms : {0, 5, 6, 220, 221, 70000}) {
    RecordAnswer(metrics, Sample("t", milliseconds(ms)));
  }
  const std::string page = RenderMetrics(metrics);
  const std::string labels = R"(service="chairs",rank="urgent",tenant="t")";
  const std::string name = "gbr_answer_latency_seconds";
  const auto bucket = [&](const std::string& le) {
    return ValueOf(page, name + "_bucket{" + labels + ",le=\"" + le + "\"}");
  };
  EXPECT_EQ(bucket("0.005"), 2);
  EXPECT_EQ(bucket("0.01"), 3);
  EXPECT_EQ(bucket("0.15"), 3);
  EXPECT_EQ(bucket("0.22"), 4);
  EXPECT_EQ(bucket("0.5"), 5);
  EXPECT_EQ(bucket("60"), 5);
  EXPECT_EQ(bucket("+Inf"), 6);
  EXPECT_EQ(ValueOf(page, name + "_count{" + labels + "}"), 6);
  EXPECT_NEAR(ValueOf(page, name + "_sum{" + labels + "}"), 70.452, 1e-9);
  EXPECT_THAT(page, HasSubstr("# TYPE gbr_answer_latency_seconds histogram\n"));
  // An estimate from too few samples would be wrong.
  EXPECT_THAT(page, Not(HasSubstr("quantile=")));
}

// Quantile estimates must match the samples.
TEST(MetricsTest, EstimatesQuantilesAndMeans) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  // 1 to 1,000 ms, each once, in unsorted order.
  for (int i = 0; i < 1000; ++i) {
    AnswerSample sample = Sample("t", milliseconds(i * 7 % 1000 + 1));
    sample.coverage = i % 2 == 0 ? 1.0 : 0.5;
    RecordAnswer(metrics, sample);
  }
  const std::string page = RenderMetrics(metrics);
  const std::string labels = R"(service="chairs",rank="urgent",tenant="t")";
  const auto estimate = [&](const std::string& quantile) {
    return ValueOf(page, "gbr_answer_latency_estimate_seconds{" + labels +
                             ",quantile=\"" + quantile + "\"}");
  };
  EXPECT_NEAR(estimate("0.5"), 0.5, 0.05);
  EXPECT_NEAR(estimate("0.95"), 0.95, 0.02);
  EXPECT_NEAR(estimate("0.99"), 0.99, 0.01);
  EXPECT_NEAR(ValueOf(page, "gbr_answer_latency_mean_seconds{" + labels + "}"),
              0.5005, 1e-9);
  EXPECT_DOUBLE_EQ(ValueOf(page, "gbr_answer_coverage_mean{" + labels + "}"),
                   0.75);
}

// Callers must not be able to grow memory and the page without bound.
TEST(MetricsTest, LabelValuesAreBounded) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  for (size_t i = 0; i < kMaxTenantLabels + 100; ++i) {
    const std::string name = "t" + std::to_string(i);
    RecordAnswer(metrics, Sample(name, milliseconds(1)));
    RecordAnswer(metrics, {name, Rank::kNormal, "", name, milliseconds(1), {}});
  }
  const std::string page = RenderMetrics(metrics);
  const auto tenants = LabelValues(page, "tenant");
  EXPECT_EQ(tenants.size(), kMaxTenantLabels + 1);
  EXPECT_TRUE(tenants.contains("other"));
  EXPECT_EQ(LabelValues(page, "service"),
            (std::set<std::string>{"chairs", "unknown"}));
  EXPECT_EQ(LabelValues(page, "status"),
            (std::set<std::string>{"complete", "other"}));
}

// The page must not grow with every service ever defined.
TEST(MetricsTest, RemovedServicesDisappear) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  RecordAnswer(metrics, Sample("t", milliseconds(1)));
  SetServices(metrics, {{"tills"}});
  EXPECT_THAT(RenderMetrics(metrics), Not(HasSubstr("chairs")));
}

// A tenant must not break out of its label or make the page invalid UTF-8.
TEST(MetricsTest, TenantCannotForgeLines) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  RecordAnswer(metrics, Sample("a\"} 1\nforged\\\xff", milliseconds(1)));
  EXPECT_THAT(RenderMetrics(metrics),
              HasSubstr(R"(tenant="a\"} 1_forged\\_",status="complete"} 1)"));
}

// A scraper must accept the page: each line is a comment or a sample, and each
// family is described once and before its samples.
TEST(MetricsTest, PageHasValidFormat) {
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  for (int i = 0; i < 20; ++i) {
    RecordAnswer(metrics, Sample("t", milliseconds(i)));
  }
  Increment(metrics, Counter::kHedges);
  Increment(metrics, Counter::kHedges, 2);
  SetGauge(metrics, Gauge::kCatalogVersion, 7);
  const std::string page = RenderMetrics(metrics);
  EXPECT_EQ(ValueOf(page, "gbr_hedges_total"), 3);
  EXPECT_EQ(ValueOf(page, "gbr_catalog_version"), 7);
  const auto is_help = testing::MatchesRegex("# HELP gbr_[a-z_]+ .+");
  const auto is_type = testing::MatchesRegex(
      "# TYPE gbr_[a-z_]+ (counter|gauge|histogram|summary)");
  const auto is_sample = testing::MatchesRegex(
      "gbr_[a-z_]+([{][a-z]+=\"[^\"]*\"(,[a-z]+=\"[^\"]*\")*[}])? [-+.e0-9]+");
  std::set<std::string> families;
  std::string family;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("# HELP ")) {
      ASSERT_THAT(line, is_help);
      family = line.substr(7, line.find(' ', 7) - 7);
      EXPECT_TRUE(families.insert(family).second) << line;
    } else if (line.starts_with("#")) {
      ASSERT_THAT(line, is_type);
      EXPECT_THAT(line, HasSubstr(" " + family + " "));
    } else {
      ASSERT_THAT(line, is_sample);
      const std::string suffix = line.substr(
          std::min(family.size(), line.size()),
          line.find_first_of("{ ") - std::min(family.size(), line.size()));
      EXPECT_TRUE(line.starts_with(family)) << line;
      EXPECT_THAT(suffix, testing::AnyOf("", "_bucket", "_sum", "_count"));
    }
  }
  EXPECT_EQ(families.size(), kCounterCount + kGaugeCount + 5);
}

// The operations page must explain each metric.
TEST(MetricsTest, OperationsPageNamesEachMetric) {
  std::ifstream in(GOOSEBERRYROCK_SOURCE_DIR "/docs/OPERATIONS.md");
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream lines(RenderMetrics(Metrics()));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("# TYPE ")) {
      const std::string name = line.substr(7, line.rfind(' ') - 7);
      EXPECT_THAT(text, HasSubstr("`" + name + "`"));
    }
  }
}

// Concurrent updates must not be lost or race.
TEST(MetricsTest, CountsOnSeveralThreads) {
  constexpr int kThreads = 4;
  constexpr int kSamples = 2000;
  Metrics metrics;
  SetServices(metrics, {{"chairs"}});
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, tenant = "t" + std::to_string(i % 2)] {
      for (int k = 0; k < kSamples; ++k) {
        RecordAnswer(metrics, Sample(tenant, milliseconds(k)));
        Increment(metrics, Counter::kAttemptsSent);
        if (k % 500 == 0) {
          RenderMetrics(metrics);
        }
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  const std::string page = RenderMetrics(metrics);
  EXPECT_EQ(ValueOf(page, "gbr_attempts_sent_total"), kThreads * kSamples);
  for (const std::string tenant : {"t0", "t1"}) {
    EXPECT_EQ(ValueOf(page,
                      "gbr_answer_latency_seconds_count{service="
                      "\"chairs\",rank=\"urgent\",tenant=\"" +
                          tenant + "\"}"),
              kThreads / 2 * kSamples);
  }
}

}  // namespace
}  // namespace gooseberryrock::telemetry
