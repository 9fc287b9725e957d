// A stand-in backend server for tests and the quick start.

#include "standin_server.h"

#include <charconv>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "backend.pb.h"
#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/http/http_server.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::standin {

namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);

uint64_t Incarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

struct StandinServer::Impl {
  explicit Impl(const StandinOptions& standin_options)
      : options(standin_options),
        server({options.host, options.port,
                options.connection_limit + options.slots},
               [this](const http::HttpRequest& it) { return Handle(it); }),
        announcer([this] { RunAnnouncer(); }) {}

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      state = "gone";
      ++sequence;
      stopping = true;
    }
    changed.notify_all();
    announcer.join();
  }

  http::HttpReply Handle(const http::HttpRequest& request) {
    if (request.path == "/v1/subquery") {
      return HandleSubquery(request);
    }
    if (request.path == "/v1/cancel") {
      return {200, "application/json", "{}"};
    }
    if (request.path == "/executions") {
      return Executions();
    }
    return {404, "text/plain", "not found\n"};
  }

  http::HttpReply HandleSubquery(const http::HttpRequest& request) {
    proto::Subquery subquery;
    proto::FromJson(request.body, subquery);
    proto::SubqueryReply reply;
    reply.set_attempt_id(subquery.attempt_id());
    reply.set_shard(subquery.shard());
    reply.set_layout_version(subquery.layout_version());
    reply.set_index_version(subquery.index_version());
    reply.set_end(true);
    if (subquery.index_version() != options.index_version ||
        subquery.layout_version() != options.layout_version) {
      reply.set_status("no_snapshot");
    } else {
      Execute(subquery);
      reply.set_status("ok");
      reply.set_all_rows(true);
      reply.add_rows(subquery.shard() + "/" + subquery.text());
    }
    return {200, "application/json", proto::ToJson(reply)};
  }

  // Waits for a slot and holds it for the service time.
  void Execute(const proto::Subquery& subquery) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return busy_slots < options.slots; });
    ++busy_slots;
    ++executions[subquery.request_id()];
    lock.unlock();
    std::this_thread::sleep_for(options.service_time);
    lock.lock();
    --busy_slots;
    changed.notify_all();
  }

  http::HttpReply Executions() {
    std::lock_guard lock(mutex);
    std::string body;
    for (const auto& [id, n] : executions) {
      body += id + " " + std::to_string(n) + "\n";
    }
    return {200, "text/plain", body};
  }

  void RunAnnouncer() {
    size_t next_node = 0;
    std::unique_lock lock(mutex);
    while (true) {
      const bool last = stopping;
      const std::string body = AnnouncementBody();
      lock.unlock();
      for (size_t i = 0; i < options.nodes.size(); ++i) {
        Announce(options.nodes[next_node++ % options.nodes.size()], body);
      }
      lock.lock();
      if (last) {
        return;
      }
      changed.wait_for(lock, kAnnounceInterval, [this] { return stopping; });
    }
  }

  std::string AnnouncementBody() const {
    proto::Announcement message;
    message.set_id(options.id);
    message.set_incarnation(incarnation);
    message.set_state(state);
    message.set_sequence(sequence);
    message.set_service(options.service);
    message.set_failure_domain(options.failure_domain);
    message.set_host(options.host);
    message.set_port(options.port);
    for (const auto& shard : options.shards) {
      auto& replica = *message.add_replicas();
      replica.set_layout_version(options.layout_version);
      replica.set_shard(shard);
      replica.add_index_versions(options.index_version);
    }
    message.set_slots(options.slots);
    message.set_connection_limit(options.connection_limit);
    return proto::ToJson(message);
  }

  static bool Announce(const std::string& node, const std::string& body) {
    const size_t colon = node.rfind(':');
    uint16_t port = 0;
    std::from_chars(node.data() + colon + 1, node.data() + node.size(), port);
    http::HttpCall call;
    call.host = node.substr(0, colon);
    call.port = port;
    call.path = "/v1/announce";
    call.body = body;
    call.timeout = kAnnounceInterval;
    try {
      return http::Execute(call).status == 200;
    } catch (const http::HttpError& e) {
      telemetry::LogEvent(telemetry::LogLevel::kWarning, "announce_failed",
                          {{"node", node}, {"error", e.what()}});
      return false;
    }
  }

  const StandinOptions options;
  const uint64_t incarnation = Incarnation();
  std::mutex mutex;
  // Guarded by `mutex`.
  std::string state = "ready";
  uint64_t sequence = 1;
  uint32_t busy_slots = 0;
  std::map<std::string, uint64_t> executions;
  bool stopping = false;
  std::condition_variable changed;
  http::HttpServer server;
  std::thread announcer;
};

StandinServer::StandinServer(const StandinOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

StandinServer::~StandinServer() = default;

}  // namespace gooseberryrock::standin
