// Figures of a run for each rank.

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

// Bins of equal ratio: neighbours differ by 0.7%.
constexpr unsigned kBins = 2000;
constexpr double kLeastMs = 0.05;
constexpr double kMostMs = 60000;

auto MakeHistogram() {
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(
          kBins, kLeastMs, kMostMs));
}

struct Figures {
  size_t sent = 0;
  size_t on_time = 0;
  size_t with_rows = 0;
  size_t wrong = 0;
  double coverage_sum = 0;
  std::map<std::string, size_t> statuses;
  decltype(MakeHistogram()) latency_ms = MakeHistogram();
};

void Add(const Sample& sample, Figures& figures) {
  ++figures.sent;
  figures.on_time += sample.on_time ? 1 : 0;
  figures.wrong += sample.problems.empty() ? 0 : 1;
  ++figures.statuses[sample.status];
  if (sample.status == "complete" || sample.status == "partial") {
    ++figures.with_rows;
    figures.coverage_sum += sample.coverage;
    figures.latency_ms(
        std::chrono::duration<double, std::milli>(sample.latency).count());
  }
}

// The latency in milliseconds that `share` of the answers with rows keep.
double Percentile(const Figures& figures, double share) {
  const double wanted = share * static_cast<double>(figures.with_rows);
  double seen = 0;
  for (const auto& bin :
       histogram::indexed(figures.latency_ms, histogram::coverage::all)) {
    seen += *bin;
    if (seen >= wanted && seen > 0) {
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

std::string StatusList(const Figures& figures) {
  std::string list;
  for (const auto& [status, n] : figures.statuses) {
    list += (list.empty() ? "" : " ") + status + "=" + std::to_string(n);
  }
  return list;
}

void PrintCsvLine(const std::string& second,
                  Rank rank,
                  const Figures& figures,
                  std::ostream& out) {
  out << second << ',' << RankName(rank) << ',' << figures.sent << ','
      << Format("%.4f",
                Share(static_cast<double>(figures.on_time), figures.sent))
      << ',' << Format("%.3f", Percentile(figures, 0.5)) << ','
      << Format("%.3f", Percentile(figures, 0.95)) << ','
      << Format("%.3f", Percentile(figures, 0.99)) << ','
      << Format("%.4f", Share(figures.coverage_sum, figures.with_rows)) << ','
      << figures.wrong << ',' << StatusList(figures) << '\n';
}

}  // namespace

void PrintTable(const std::vector<Sample>& samples, std::ostream& out) {
  std::map<Rank, Figures> ranks;
  std::map<std::string, size_t> problems;
  for (const Sample& sample : samples) {
    Add(sample, ranks[sample.rank]);
    for (const std::string& problem : sample.problems) {
      ++problems[problem];
    }
  }
  out << "rank        sent  on_time   p50_ms   p95_ms   p99_ms  coverage  "
         "wrong  statuses\n";
  for (const auto& [rank, figures] : ranks) {
    std::string name(RankName(rank));
    name.resize(10, ' ');
    const double on_time =
        100 * Share(static_cast<double>(figures.on_time), figures.sent);
    out << name << PadLeft(std::to_string(figures.sent), 6)
        << PadLeft(Format("%.2f%%", on_time), 9)
        << PadLeft(Format("%.1f", Percentile(figures, 0.5)), 9)
        << PadLeft(Format("%.1f", Percentile(figures, 0.95)), 9)
        << PadLeft(Format("%.1f", Percentile(figures, 0.99)), 9)
        << PadLeft(
               Format("%.4f", Share(figures.coverage_sum, figures.with_rows)),
               10)
        << PadLeft(std::to_string(figures.wrong), 7) << "  "
        << StatusList(figures) << '\n';
  }
  for (const auto& [problem, n] : problems) {
    out << "wrong answers: " << n << " x " << problem << '\n';
  }
}

void PrintCsv(const std::vector<Sample>& samples, std::ostream& out) {
  std::map<std::pair<int64_t, Rank>, Figures> seconds;
  std::map<Rank, Figures> ranks;
  for (const Sample& sample : samples) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(sample.offset).count();
    Add(sample, seconds[{second, sample.rank}]);
    Add(sample, ranks[sample.rank]);
  }
  out << "second,rank,sent,on_time_share,p50_ms,p95_ms,p99_ms,coverage,wrong,"
         "statuses\n";
  for (const auto& [key, figures] : seconds) {
    PrintCsvLine(std::to_string(key.first), key.second, figures, out);
  }
  for (const auto& [rank, figures] : ranks) {
    PrintCsvLine("all", rank, figures, out);
  }
}

size_t CountWrong(const std::vector<Sample>& samples) {
  return std::count_if(samples.begin(), samples.end(),
                       [](const Sample& it) { return !it.problems.empty(); });
}

}  // namespace gooseberryrock::load
