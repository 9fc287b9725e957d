// Sends the announcements of a stand-in backend server to the nodes.

#include "announcer.h"

#include <charconv>
#include <utility>

#include "backend.pb.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::standin {

namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr int kHttpOk = 200;

struct PostResult {
  bool accepted = false;
  bool new_incarnation_needed = false;
};

PostResult PostAnnouncement(const std::string& node, const std::string& body) {
  const size_t colon = node.rfind(':');
  http::HttpCall call;
  call.host = node.substr(0, colon);
  std::from_chars(node.data() + colon + 1, node.data() + node.size(),
                  call.port);
  call.path = "/v1/announce";
  call.body = body;
  call.timeout = kAnnounceInterval;
  try {
    const http::HttpReply http_reply = http::Execute(call);
    if (http_reply.status != kHttpOk) {
      return {};
    }
    proto::AnnouncementReply reply;
    proto::FromJson(http_reply.body, reply, /*ignore_unknown=*/true);
    return {true, reply.new_incarnation_needed()};
  } catch (const proto::MalformedMessageError& e) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "announce_failed",
                        {{"node", node}, {"error", e.what()}});
    return {};
  } catch (const http::HttpError& e) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "announce_failed",
                        {{"node", node}, {"error", e.what()}});
    return {};
  }
}

}  // namespace

Announcer::Announcer(std::vector<std::string> nodes,
                     bool to_all,
                     BodySource body,
                     OutdatedHandler on_outdated)
    : nodes_(std::move(nodes)),
      to_all_(to_all),
      body_(std::move(body)),
      on_outdated_(std::move(on_outdated)) {
  thread_ = std::thread([this] { Run(); });
}

Announcer::~Announcer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void Announcer::AnnounceNow() {
  {
    std::lock_guard lock(mutex_);
    announce_now_ = true;
  }
  changed_.notify_all();
}

void Announcer::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    const bool is_final = stopping_;
    announce_now_ = false;
    lock.unlock();
    AnnounceOnce();
    lock.lock();
    if (is_final) {
      return;
    }
    changed_.wait_for(lock, kAnnounceInterval,
                      [this] { return stopping_ || announce_now_; });
  }
}

void Announcer::AnnounceOnce() {
  const std::string body = body_();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const PostResult result =
        PostAnnouncement(nodes_[node_ % nodes_.size()], body);
    if (result.new_incarnation_needed) {
      on_outdated_();
    }
    if (result.accepted && !to_all_) {
      return;
    }
    ++node_;
  }
}

}  // namespace gooseberryrock::standin
