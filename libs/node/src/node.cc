// A node of the query tier.

#include "gooseberryrock/node/node.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "backend.pb.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/http/http_server.h"
#include "gooseberryrock/node/caller_api.h"
#include "gooseberryrock/node/directory_keeper.h"
#include "gooseberryrock/node/operator_api.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/proto/convert_server_record.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/query/answer.h"
#include "gooseberryrock/settings/settings.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::node {

namespace {

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(200);
constexpr uint32_t kAnnounceWithinMs = 500;

// Attempt ids start at the microseconds since 1970 times this, which leaves
// earlier incarnations behind while they made fewer attempts than this for each
// microsecond of their life.
constexpr query::AttemptId kAttemptsPerMicrosecond = 16;

query::AttemptId FirstAttempt() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<query::AttemptId>(
             std::chrono::duration_cast<std::chrono::microseconds>(now)
                 .count()) *
         kAttemptsPerMicrosecond;
}

QueryEngineOptions EngineOptions(const settings::Settings& settings) {
  return {settings.failure_domain, settings.query_shards, settings.io_shards,
          FirstAttempt()};
}

}  // namespace

struct Node::Impl {
  explicit Impl(const settings::Settings& node_settings)
      : settings(node_settings),
        engine(EngineOptions(settings), views),
        keeper(settings.node, views, engine),
        operator_api(settings.operator_token, keeper),
        server({settings.http_address.host, settings.http_address.port,
                settings.http_threads},
               [this](const http::HttpRequest& it) { return Handle(it); }),
        maintenance([this] { RunMaintenance(); }) {}

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    changed.notify_all();
    maintenance.join();
  }

  http::HttpReply Handle(const http::HttpRequest& request) {
    if (request.path.starts_with(kQueryPathPrefix)) {
      return HandleQuery(request);
    }
    if (request.path == "/v1/announce") {
      return HandleAnnouncement(request);
    }
    if (request.path.starts_with(kOperatorPathPrefix)) {
      return operator_api.Handle(request);
    }
    if (request.path == "/healthz") {
      return {200, "text/plain", "ok\n"};
    }
    if (request.path == "/readyz") {
      std::lock_guard lock(mutex);
      return ready ? http::HttpReply{200, "text/plain", "ready\n"}
                   : http::HttpReply{503, "text/plain", "not ready\n"};
    }
    return ErrorReply(404, "not_found", "there is nothing at this path");
  }

  http::HttpReply HandleQuery(const http::HttpRequest& request) {
    auto parsed = ParseQuery(request, std::chrono::steady_clock::now());
    if (auto* error = std::get_if<http::HttpReply>(&parsed)) {
      return *error;
    }
    const auto& query = std::get<query::QueryRequest>(parsed);
    {
      std::lock_guard lock(mutex);
      if (refusing) {
        return RenderAnswer(query.id,
                            query::NotRun(query::AnswerReason::kStopping));
      }
      ++in_flight;
    }
    const query::Answer answer = engine.Execute(query);
    {
      std::lock_guard lock(mutex);
      --in_flight;
    }
    changed.notify_all();
    return RenderAnswer(query.id, answer);
  }

  http::HttpReply HandleAnnouncement(const http::HttpRequest& request) {
    proto::Announcement message;
    try {
      proto::FromJson(request.body, message, /*ignore_unknown=*/true);
      keeper.OnAnnouncement(proto::FromMessage(message),
                            std::chrono::steady_clock::now());
    } catch (const proto::MalformedMessageError& e) {
      return ErrorReply(400, "malformed_message", e.what());
    }
    proto::AnnouncementReply reply;
    reply.set_announce_within_ms(kAnnounceWithinMs);
    return {200, "application/json", proto::ToJson(reply)};
  }

  void RunMaintenance() {
    std::unique_lock lock(mutex);
    while (!stopping) {
      changed.wait_for(lock, kMaintenanceInterval);
      lock.unlock();
      keeper.Expire(std::chrono::steady_clock::now());
      lock.lock();
    }
  }

  void Drain() {
    std::unique_lock lock(mutex);
    ready = false;
    changed.wait_for(lock, settings.drain_wait, [this] { return stopping; });
    refusing = true;
    changed.wait(lock, [this] { return in_flight == 0; });
  }

  const settings::Settings settings;
  ServiceViews views;
  QueryEngine engine;
  DirectoryKeeper keeper;
  OperatorApi operator_api;
  std::mutex mutex;
  // Guarded by `mutex`.
  bool ready = true;
  bool refusing = false;
  bool stopping = false;
  uint64_t in_flight = 0;
  std::condition_variable changed;
  http::HttpServer server;
  std::thread maintenance;
};

Node::Node(const settings::Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Node::~Node() = default;

void Node::Drain() {
  impl_->Drain();
}

}  // namespace gooseberryrock::node
