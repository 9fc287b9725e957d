// Statistics of a load run for each rank.

#include "load_report.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <ostream>

namespace gooseberryrock::load {

namespace {

namespace histogram = boost::histogram;

// Logarithmic bins: the bounds of adjacent bins differ by 0.7%.
constexpr unsigned kBins = 2000;
constexpr double kMinMs = 0.05;
constexpr double kMaxMs = 60000;

auto MakeHistogram() {
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(
          kBins, kMinMs, kMaxMs));
}

struct RankStatistics {
  size_t sent = 0;
  size_t on_time = 0;
  size_t with_rows = 0;
  size_t wrong = 0;
  double coverage_sum = 0;
  std::map<std::string, size_t> statuses;
  decltype(MakeHistogram()) latency_ms = MakeHistogram();
};

void AddSample(const Sample& sample, RankStatistics& statistics) {
  ++statistics.sent;
  statistics.on_time += sample.on_time ? 1 : 0;
  statistics.wrong += sample.problems.empty() ? 0 : 1;
  ++statistics.statuses[sample.status];
  if (sample.status == "complete" || sample.status == "partial") {
    ++statistics.with_rows;
    statistics.coverage_sum += sample.coverage;
    statistics.latency_ms(
        std::chrono::duration<double, std::milli>(sample.latency).count());
  }
}

// Returns the latency in milliseconds that the fraction `share` of the answers
// with rows does not exceed.
double Percentile(const RankStatistics& statistics, double share) {
  const double target_count = share * static_cast<double>(statistics.with_rows);
  double count = 0;
  for (const auto& bin :
       histogram::indexed(statistics.latency_ms, histogram::coverage::all)) {
    count += *bin;
    if (count >= target_count && count > 0) {
      return bin.bin().upper();
    }
  }
  return 0;
}

double Share(double part, size_t whole) {
  return whole == 0 ? 0 : part / static_cast<double>(whole);
}

std::string Format(const char* format, double value) {
  char buf[64];
  std::snprintf(buf, sizeof(buf), format, value);
  return buf;
}

std::string PadLeft(const std::string& text, size_t width) {
  return std::string(width - std::min(width, text.size()), ' ') + text;
}

std::string FormatStatuses(const RankStatistics& statistics) {
  std::string list;
  for (const auto& [status, n] : statistics.statuses) {
    list += (list.empty() ? "" : " ") + status + "=" + std::to_string(n);
  }
  return list;
}

void PrintCsvLine(const std::string& second,
                  Rank rank,
                  const RankStatistics& statistics,
                  std::ostream& out) {
  out << second << ',' << RankName(rank) << ',' << statistics.sent << ','
      << Format("%.4f",
                Share(static_cast<double>(statistics.on_time), statistics.sent))
      << ',' << Format("%.3f", Percentile(statistics, 0.5)) << ','
      << Format("%.3f", Percentile(statistics, 0.95)) << ','
      << Format("%.3f", Percentile(statistics, 0.99)) << ','
      << Format("%.4f", Share(statistics.coverage_sum, statistics.with_rows))
      << ',' << statistics.wrong << ',' << FormatStatuses(statistics) << '\n';
}

}  // namespace

void PrintTable(const std::vector<Sample>& samples, std::ostream& out) {
  std::map<Rank, RankStatistics> ranks;
  std::map<std::string, size_t> problems;
  for (const Sample& sample : samples) {
    AddSample(sample, ranks[sample.rank]);
    for (const std::string& problem : sample.problems) {
      ++problems[problem];
    }
  }
  out << "rank        sent  on_time   p50_ms   p95_ms   p99_ms  coverage  "
         "wrong  statuses\n";
  for (const auto& [rank, statistics] : ranks) {
    std::string name(RankName(rank));
    name.resize(10, ' ');
    const double on_time =
        100 * Share(static_cast<double>(statistics.on_time), statistics.sent);
    out << name << PadLeft(std::to_string(statistics.sent), 6)
        << PadLeft(Format("%.2f%%", on_time), 9)
        << PadLeft(Format("%.1f", Percentile(statistics, 0.5)), 9)
        << PadLeft(Format("%.1f", Percentile(statistics, 0.95)), 9)
        << PadLeft(Format("%.1f", Percentile(statistics, 0.99)), 9)
        << PadLeft(Format("%.4f",
                          Share(statistics.coverage_sum, statistics.with_rows)),
                   10)
        << PadLeft(std::to_string(statistics.wrong), 7) << "  "
        << FormatStatuses(statistics) << '\n';
  }
  for (const auto& [problem, n] : problems) {
    out << "wrong answers: " << n << " x " << problem << '\n';
  }
}

void PrintCsv(const std::vector<Sample>& samples, std::ostream& out) {
  std::map<std::pair<int64_t, Rank>, RankStatistics> seconds;
  std::map<Rank, RankStatistics> ranks;
  for (const Sample& sample : samples) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(sample.offset).count();
    AddSample(sample, seconds[{second, sample.rank}]);
    AddSample(sample, ranks[sample.rank]);
  }
  out << "second,rank,sent,on_time_share,p50_ms,p95_ms,p99_ms,coverage,wrong,"
         "statuses\n";
  for (const auto& [key, statistics] : seconds) {
    PrintCsvLine(std::to_string(key.first), key.second, statistics, out);
  }
  for (const auto& [rank, statistics] : ranks) {
    PrintCsvLine("all", rank, statistics, out);
  }
}

size_t CountWrongAnswers(const std::vector<Sample>& samples) {
  return std::count_if(samples.begin(), samples.end(),
                       [](const Sample& it) { return !it.problems.empty(); });
}

}  // namespace gooseberryrock::load
