// Explains from the nodes' logs how and why a request ended.

#include "explain_command.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <set>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "ctl_options.h"
#include "gooseberryrock/telemetry/log_line.h"
#include "usage_error.h"

namespace gooseberryrock::ctl {

namespace {

using telemetry::LogLine;

// How far back before the end of a request context lines are shown. Earlier
// events hardly affect where the request is sent: the record of a slow server
// decays with a half-life of 2 s.
constexpr Duration kContextDuration = std::chrono::seconds(5);
// Only the latest context lines are shown, to keep the output readable.
constexpr size_t kMaxContextLines = 20;

struct FileLine {
  std::string file;
  std::string text;
  LogLine line;
};

struct Outcome {
  std::string_view event;
  // Value of the field `reason`; empty matches any.
  std::string_view reason;
  std::string_view text;
};

// Outcomes of a request by event and reason of its last log line.
constexpr Outcome kOutcomes[] = {
    {"request_refused", "no_routes",
     "refused, not run: the node knew no routes yet"},
    {"request_refused", "no_server",
     "refused, not run: no server of the service was known"},
    {"request_refused", "shards_unavailable",
     "refused, not run: too many shards had no server that responds"},
    {"request_refused", "overloaded",
     "refused, not run: the servers' queues were too long to answer in time"},
    {"request_refused", "servers_refused",
     "refused, not run: each server that was asked refused it"},
    {"request_refused", "servers_limited",
     "refused, not run: the servers accept fewer requests per second"},
    {"request_refused", "servers_resting",
     "refused, not run: the servers want no requests for some time"},
    {"request_refused", "crashes_servers",
     "refused, not run: servers ended each time that they ran it"},
    {"request_refused", "not_in_time",
     "refused, not run: its time was over before a server was reached"},
    {"request_failed", "timeout",
     "failed, may have run: no server replied in time"},
    {"request_failed", "connection_lost",
     "failed, may have run: the connection to the server was lost"},
    {"request_failed", "too_few_shards",
     "failed: too few shards answered for the least coverage"},
    {"request_failed", "replies_too_large",
     "failed, may have run: the replies took too much memory"},
    {"request_without_route", "",
     "refused: no route leads to its host and path"},
    {"answer_partial", "", "answered in part: shards are missing"},
    {"caller_gone", "", "ended by the caller, which closed its connection"},
    {"query_answered", "", "answered"},
};

// Events in which a node's view of the servers or of the control VMs changes.
constexpr std::string_view kContextEvents[] = {
    "attempt_lost",        "server_connect_failed", "server_changed",
    "server_replaced",     "server_announced",      "server_withdrawn",
    "servers_remembered",  "control_lost",          "control_followed",
    "routes_in_force",     "leadership_changed",    "server_limited",
    "server_limit_lifted", "voters_changed",        "server_leaving",
    "server_resting",      "server_awake",          "server_crashed"};

std::string_view RequestId(const LogLine& line) {
  const std::string_view request = line.Field("request");
  return request.empty() ? line.Field("request_id") : request;
}

std::vector<FileLine> ReadLogLines(const std::vector<std::string>& files) {
  std::vector<FileLine> lines;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      throw UsageError("cannot read " + file);
    }
    for (std::string text; std::getline(in, text);) {
      if (auto line = telemetry::ParseLogLine(text)) {
        lines.push_back({file, text, std::move(*line)});
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const FileLine& a, const FileLine& b) {
                     return a.line.time < b.line.time;
                   });
  return lines;
}

std::string_view OutcomeText(const std::vector<FileLine>& request_lines) {
  for (auto it = request_lines.rbegin(); it != request_lines.rend(); ++it) {
    for (const Outcome& outcome : kOutcomes) {
      if (it->line.Field("event") == outcome.event &&
          (outcome.reason.empty() ||
           it->line.Field("reason") == outcome.reason)) {
        return outcome.text;
      }
    }
  }
  return "no line says how it ended: it was answered as planned, or its line "
         "was "
         "left out (see suppressed)";
}

// Adds the names of a comma-separated list to `names`.
void AddNames(std::string_view list,
              std::set<std::string, std::less<>>& names) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    names.emplace(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

bool ConcernsAny(const LogLine& line,
                 const std::set<std::string, std::less<>>& names) {
  const std::string_view server = line.Field("server");
  const std::string_view service = line.Field("service");
  return (server.empty() && service.empty()) || names.contains(server) ||
         names.contains(service);
}

std::vector<FileLine> ContextLines(const std::vector<FileLine>& all_lines,
                                   const std::vector<FileLine>& request_lines,
                                   std::string_view request_id) {
  std::set<std::string, std::less<>> names;
  for (const FileLine& it : request_lines) {
    AddNames(it.line.Field("server"), names);
    AddNames(it.line.Field("service"), names);
    AddNames(it.line.Field("missing_services"), names);
  }
  const WallTime last = request_lines.back().line.time;
  std::vector<FileLine> context;
  for (const FileLine& it : all_lines) {
    const bool in_window =
        it.line.time <= last && last - it.line.time <= kContextDuration;
    const bool is_context_event =
        std::find(std::begin(kContextEvents), std::end(kContextEvents),
                  it.line.Field("event")) != std::end(kContextEvents);
    if (in_window && is_context_event && RequestId(it.line) != request_id &&
        ConcernsAny(it.line, names)) {
      context.push_back(it);
    }
  }
  if (context.size() > kMaxContextLines) {
    context.erase(context.begin(), context.end() - kMaxContextLines);
  }
  return context;
}

void PrintLines(const char* title, const std::vector<FileLine>& lines) {
  std::cout << title << "\n";
  for (const FileLine& it : lines) {
    std::cout << "  " << it.file << ": " << it.text << "\n";
  }
}

nlohmann::json ToJson(const std::vector<FileLine>& lines) {
  nlohmann::json list = nlohmann::json::array();
  for (const FileLine& it : lines) {
    list.push_back({{"file", it.file}, {"fields", it.line.fields}});
  }
  return list;
}

}  // namespace

ExitCode Explain(const CtlOptions& options,
                 const std::string& request_id,
                 const std::vector<std::string>& files) {
  const std::vector<FileLine> all_lines = ReadLogLines(files);
  std::vector<FileLine> request_lines;
  std::copy_if(
      all_lines.begin(), all_lines.end(), std::back_inserter(request_lines),
      [&](const FileLine& it) { return RequestId(it.line) == request_id; });
  if (request_lines.empty()) {
    std::cerr << "no line names request " << request_id
              << ": it was answered as planned, or reached another node\n";
    return ExitCode::kNotRun;
  }
  const std::string_view end = OutcomeText(request_lines);
  const std::vector<FileLine> context =
      ContextLines(all_lines, request_lines, request_id);
  if (options.json) {
    std::cout << nlohmann::json{{"request", request_id},
                                {"end", end},
                                {"lines", ToJson(request_lines)},
                                {"before", ToJson(context)}}
                     .dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
    return ExitCode::kOk;
  }
  std::cout << "request " << request_id << ": " << end << "\n";
  PrintLines("what the nodes did:", request_lines);
  PrintLines("what they learned of these servers in the 5 s before:", context);
  return ExitCode::kOk;
}

}  // namespace gooseberryrock::ctl
