// Stand-in backend server for tests and the quick start.

#include "standin_server.h"

#include <unistd.h>

#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "announcer.h"
#include "backend.pb.h"
#include "connection_server.h"
#include "gooseberryrock/http/http_server.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "standin_options.h"
#include "work_queue.h"

namespace gooseberryrock::standin {

namespace {

using Json = nlohmann::json;

// Few threads suffice, because only one test program uses the control port.
constexpr unsigned kControlThreads = 4;
constexpr int kCrashExitCode = 70;
// Added to the requested index version in replies of a server that simulates a
// wrong snapshot.
constexpr uint64_t kWrongSnapshotOffset = 1000;

uint64_t CurrentIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

http::HttpReply JsonReply(int status, std::string body) {
  return {status, "application/json", std::move(body)};
}

ReplyFault GetReplyFault(const Behaviour& behaviour) {
  if (behaviour.close_after_read) {
    return ReplyFault::kCloseWithoutReply;
  }
  switch (behaviour.half_reply) {
    case HalfReply::kNone:
      return ReplyFault::kNone;
    case HalfReply::kContentLength:
      return ReplyFault::kTruncatedContentLength;
    case HalfReply::kChunked:
      return ReplyFault::kTruncatedChunked;
  }
  return ReplyFault::kNone;
}

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

struct StandinServer::Impl {
  explicit Impl(const StandinOptions& standin_options)
      : options(standin_options),
        random(options.seed),
        behaviour(options.behaviour),
        work(options.slots),
        server(
            options.host,
            options.port,
            [this] { return Policy(); },
            [this](const http::HttpRequest& it) { return Handle(it); }),
        control_server(
            {options.host, options.control_port, kControlThreads},
            [this](const http::HttpRequest& it) { return HandleControl(it); }),
        announcer(
            options.nodes,
            options.announce_to_all,
            [this] { return AnnouncementBody(); },
            [this] { RaiseIncarnation(); }) {}

  ~Impl() {
    std::lock_guard lock(mutex);
    behaviour.state = "gone";
    ++sequence;
  }

  ConnectionPolicy Policy() {
    std::lock_guard lock(mutex);
    return {behaviour.connection_limit, behaviour.connect_delay};
  }

  Exchange Handle(const http::HttpRequest& request) {
    try {
      if (request.path == "/v1/subquery") {
        return HandleSubquery(request.body);
      }
      if (request.path == "/v1/cancel") {
        return {HandleCancel(request.body)};
      }
    } catch (const proto::MalformedMessageError& e) {
      return {{400, "text/plain", e.what()}};
    }
    return {{404, "text/plain", "not found\n"}};
  }

  Exchange HandleSubquery(const std::string& body) {
    proto::Subquery subquery;
    proto::FromJson(body, subquery, /*ignore_unknown=*/true);
    const SteadyTime arrived = std::chrono::steady_clock::now();
    Behaviour current;
    WorkItem item;
    {
      std::lock_guard lock(mutex);
      current = behaviour;
      item.service_time = DrawServiceTime(current, subqueries++, random);
    }
    if (!current.crash_marker.empty() &&
        subquery.text().find(current.crash_marker) != std::string::npos) {
      ::_exit(kCrashExitCode);
    }
    item.attempt = subquery.attempt_id();
    item.request_id = subquery.request_id();
    item.max_queue = current.max_queue;
    if (current.honour_deadline) {
      item.deadline =
          arrived + std::chrono::milliseconds(subquery.deadline_ms());
    }
    proto::SubqueryReply reply = RunSubquery(subquery, current, item);
    const int status = reply.status() == "refused" ? 503
                       : reply.status() == "error" ? 500
                                                   : 200;
    reply.set_queue_length(static_cast<uint32_t>(ReportedQueueLength(current)));
    return {JsonReply(status, proto::ToJson(reply)), GetReplyFault(current)};
  }

  proto::SubqueryReply RunSubquery(const proto::Subquery& subquery,
                                   const Behaviour& current,
                                   const WorkItem& item) {
    proto::SubqueryReply reply;
    reply.set_attempt_id(subquery.attempt_id());
    reply.set_shard(subquery.shard());
    reply.set_layout_version(subquery.layout_version());
    reply.set_index_version(
        subquery.index_version() +
        (current.wrong_snapshot ? kWrongSnapshotOffset : 0));
    reply.set_end(true);
    if (!Holds(current, subquery.shard(), subquery.layout_version(),
               subquery.index_version())) {
      reply.set_status("no_snapshot");
      return reply;
    }
    if (current.shed || current.fail_fast) {
      reply.set_status(current.shed ? "refused" : "error");
      return reply;
    }
    const WorkResult result = work.Run(item);
    reply.set_status(result == WorkResult::kDone      ? "ok"
                     : result == WorkResult::kRefused ? "refused"
                                                      : "error");
    if (result == WorkResult::kDone) {
      reply.set_all_rows(true);
      reply.add_rows(reply.shard() + "/" +
                     std::to_string(reply.layout_version()) + "/" +
                     std::to_string(reply.index_version()) + "/" + options.id +
                     "/" + subquery.request_id() + "/" + subquery.text());
    }
    return reply;
  }

  size_t ReportedQueueLength(const Behaviour& current) const {
    const SteadyTime time = std::chrono::steady_clock::now();
    switch (current.load_report) {
      case LoadReport::kTrue:
        return work.QueueLengthAt(time);
      case LoadReport::kStale:
        return work.QueueLengthAt(time - current.load_report_age);
      case LoadReport::kZero:
        return 0;
    }
    return 0;
  }

  http::HttpReply HandleCancel(const std::string& body) {
    proto::CancelRequest request;
    proto::FromJson(body, request, /*ignore_unknown=*/true);
    bool honour_cancel = false;
    {
      std::lock_guard lock(mutex);
      honour_cancel = behaviour.honour_cancel;
    }
    proto::CancelReply reply;
    reply.set_not_run(honour_cancel && work.Cancel(request.attempt_id()));
    return JsonReply(200, proto::ToJson(reply));
  }

  http::HttpReply HandleControl(const http::HttpRequest& request) {
    if (request.path == "/control") {
      return ChangeBehaviour(request.body);
    }
    if (request.path == "/silence") {
      server.SilenceOpenConnections();
      return JsonReply(200, "{}");
    }
    if (request.path == "/executions") {
      return JsonReply(200, Json(work.Executions()).dump());
    }
    if (request.path == "/stats") {
      return JsonReply(200, StatsBody());
    }
    return {404, "text/plain", "not found\n"};
  }

  http::HttpReply ChangeBehaviour(const std::string& body) {
    try {
      std::lock_guard lock(mutex);
      ApplyControl(body, behaviour);
      ++sequence;
    } catch (const ControlError& e) {
      return {400, "text/plain", e.what()};
    }
    announcer.AnnounceNow();
    return JsonReply(200, "{}");
  }

  std::string StatsBody() {
    const WorkStats stats = work.Stats();
    const ConnectionStats connections = server.Stats();
    Json json = {{"done", stats.done},
                 {"refused", stats.refused},
                 {"refused_late", stats.refused_late},
                 {"cancelled_waiting", stats.cancelled_waiting},
                 {"cancelled_running", stats.cancelled_running},
                 {"queue_length", stats.queue_length},
                 {"longest_queue", stats.max_queue_length},
                 {"busy_ms", Milliseconds(stats.busy_time)},
                 {"wasted_ms", Milliseconds(stats.wasted_time)},
                 {"connections_open", connections.open},
                 {"connections_most_open", connections.max_open},
                 {"connections_accepted", connections.accepted},
                 {"connections_refused", connections.refused}};
    std::lock_guard lock(mutex);
    json["subqueries"] = subqueries;
    json["state"] = behaviour.state;
    return json.dump();
  }

  void RaiseIncarnation() {
    std::lock_guard lock(mutex);
    incarnation = std::max(incarnation + 1, CurrentIncarnation());
  }

  std::string AnnouncementBody() {
    std::lock_guard lock(mutex);
    proto::Announcement message;
    message.set_id(options.id);
    message.set_incarnation(incarnation);
    message.set_state(behaviour.state);
    message.set_sequence(sequence);
    message.set_service(options.service);
    message.set_failure_domain(options.failure_domain);
    message.set_host(options.host);
    message.set_port(options.port);
    for (const std::string& label : options.labels) {
      const size_t n = label.find('=');
      (*message.mutable_labels())[label.substr(0, n)] =
          n == std::string::npos ? "" : label.substr(n + 1);
    }
    for (const HeldLayout& layout : behaviour.layouts) {
      for (const std::string& shard : layout.shards) {
        auto& replica = *message.add_replicas();
        replica.set_layout_version(layout.layout_version);
        replica.set_shard(shard);
        for (const uint64_t index_version : layout.index_versions) {
          replica.add_index_versions(index_version);
        }
      }
    }
    message.set_slots(options.slots);
    message.set_connection_limit(behaviour.connection_limit);
    return proto::ToJson(message);
  }

  const StandinOptions options;
  std::mutex mutex;
  // Guarded by `mutex`.
  uint64_t incarnation = CurrentIncarnation();
  std::mt19937_64 random;
  Behaviour behaviour;
  uint64_t sequence = 1;
  uint64_t subqueries = 0;
  WorkQueue work;
  ConnectionServer server;
  http::HttpServer control_server;
  Announcer announcer;
};

StandinServer::StandinServer(const StandinOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

StandinServer::~StandinServer() = default;

}  // namespace gooseberryrock::standin
