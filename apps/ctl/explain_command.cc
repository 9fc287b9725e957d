// Why a request ended as it did, from the logs of the nodes.

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

// What a node learned of a server this long before a request still decides
// where the request goes: the memory of a slow server has a half-life of 2 s.
constexpr Duration kContextTime = std::chrono::seconds(5);
// The latest lines of the context; more do not help a reader.
constexpr size_t kMaxContextLines = 20;

struct FoundLine {
  std::string file;
  std::string text;
  LogLine line;
};

struct Meaning {
  std::string_view event;
  // Of the field `reason`; any when empty.
  std::string_view reason;
  std::string_view text;
};

// How a request ends, by the event of its last line.
constexpr Meaning kMeanings[] = {
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
    {"request_refused", "not_in_time",
     "refused, not run: its time was over before a server was reached"},
    {"request_failed", "timeout",
     "failed, may have run: no server replied in time"},
    {"request_failed", "connection_lost",
     "failed, may have run: the connection to the server was lost"},
    {"request_failed", "too_few_shards",
     "failed: too few shards answered for the least coverage"},
    {"request_without_route", "",
     "refused: no route leads to its host and path"},
    {"answer_partial", "", "answered in part: shards are missing"},
    {"caller_gone", "", "ended by the caller, which closed its connection"},
    {"query_answered", "", "answered"},
};

// Events that say what a node believes of servers or of the control VMs.
constexpr std::string_view kContextEvents[] = {
    "attempt_lost",       "server_connect_failed", "server_changed",
    "server_replaced",    "server_announced",      "server_withdrawn",
    "servers_remembered", "control_lost",          "control_followed",
    "routes_in_force",    "leadership_changed"};

std::string_view RequestOf(const LogLine& line) {
  const std::string_view request = line.Field("request");
  return request.empty() ? line.Field("request_id") : request;
}

std::vector<FoundLine> ReadLines(const std::vector<std::string>& files) {
  std::vector<FoundLine> found;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      throw UsageError("cannot read " + file);
    }
    for (std::string text; std::getline(in, text);) {
      if (auto line = telemetry::ParseLogLine(text)) {
        found.push_back({file, text, std::move(*line)});
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const FoundLine& a, const FoundLine& b) {
                     return a.line.time < b.line.time;
                   });
  return found;
}

std::string_view MeaningOf(const std::vector<FoundLine>& own) {
  for (auto it = own.rbegin(); it != own.rend(); ++it) {
    for (const Meaning& meaning : kMeanings) {
      if (it->line.Field("event") == meaning.event &&
          (meaning.reason.empty() ||
           it->line.Field("reason") == meaning.reason)) {
        return meaning.text;
      }
    }
  }
  return "no line says how it ended: it was answered as planned, or its line "
         "was "
         "left out (see suppressed)";
}

// The names in a list that is separated by commas.
void AddNames(std::string_view list,
              std::set<std::string, std::less<>>& names) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    names.emplace(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

bool Concerns(const LogLine& line,
              const std::set<std::string, std::less<>>& names) {
  const std::string_view server = line.Field("server");
  const std::string_view service = line.Field("service");
  return (server.empty() && service.empty()) || names.contains(server) ||
         names.contains(service);
}

std::vector<FoundLine> ContextOf(const std::vector<FoundLine>& all,
                                 const std::vector<FoundLine>& own,
                                 std::string_view request_id) {
  std::set<std::string, std::less<>> names;
  for (const FoundLine& it : own) {
    AddNames(it.line.Field("server"), names);
    AddNames(it.line.Field("service"), names);
    AddNames(it.line.Field("missing_services"), names);
  }
  const WallTime last = own.back().line.time;
  std::vector<FoundLine> context;
  for (const FoundLine& it : all) {
    const bool in_time =
        it.line.time <= last && last - it.line.time <= kContextTime;
    const bool tells =
        std::find(std::begin(kContextEvents), std::end(kContextEvents),
                  it.line.Field("event")) != std::end(kContextEvents);
    if (in_time && tells && RequestOf(it.line) != request_id &&
        Concerns(it.line, names)) {
      context.push_back(it);
    }
  }
  if (context.size() > kMaxContextLines) {
    context.erase(context.begin(), context.end() - kMaxContextLines);
  }
  return context;
}

void PrintLines(const char* title, const std::vector<FoundLine>& lines) {
  std::cout << title << "\n";
  for (const FoundLine& it : lines) {
    std::cout << "  " << it.file << ": " << it.text << "\n";
  }
}

nlohmann::json ToJson(const std::vector<FoundLine>& lines) {
  nlohmann::json list = nlohmann::json::array();
  for (const FoundLine& it : lines) {
    list.push_back({{"file", it.file}, {"fields", it.line.fields}});
  }
  return list;
}

}  // namespace

ExitCode Explain(const CtlOptions& options,
                 const std::string& request_id,
                 const std::vector<std::string>& files) {
  const std::vector<FoundLine> all = ReadLines(files);
  std::vector<FoundLine> own;
  std::copy_if(
      all.begin(), all.end(), std::back_inserter(own),
      [&](const FoundLine& it) { return RequestOf(it.line) == request_id; });
  if (own.empty()) {
    std::cerr << "no line names request " << request_id
              << ": it was answered as planned, or reached another node\n";
    return ExitCode::kNotRun;
  }
  const std::string_view end = MeaningOf(own);
  const std::vector<FoundLine> context = ContextOf(all, own, request_id);
  if (options.json) {
    std::cout << nlohmann::json{{"request", request_id},
                                {"end", end},
                                {"lines", ToJson(own)},
                                {"before", ToJson(context)}}
                     .dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
    return ExitCode::kOk;
  }
  std::cout << "request " << request_id << ": " << end << "\n";
  PrintLines("what the nodes did:", own);
  PrintLines("what they learned of these servers in the 5 s before:", context);
  return ExitCode::kOk;
}

}  // namespace gooseberryrock::ctl
