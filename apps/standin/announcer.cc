// Posts the announcements of a stand-in backend server to the nodes.

#include "announcer.h"

#include <charconv>
#include <utility>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::standin {

namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr int kHttpOk = 200;

bool Post(const std::string& node, const std::string& body) {
  const size_t colon = node.rfind(':');
  http::HttpCall call;
  call.host = node.substr(0, colon);
  std::from_chars(node.data() + colon + 1, node.data() + node.size(),
                  call.port);
  call.path = "/v1/announce";
  call.body = body;
  call.timeout = kAnnounceInterval;
  try {
    return http::Execute(call).status == kHttpOk;
  } catch (const http::HttpError& e) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "announce_failed",
                        {{"node", node}, {"error", e.what()}});
    return false;
  }
}

}  // namespace

Announcer::Announcer(std::vector<std::string> nodes,
                     bool to_all,
                     BodySource body)
    : nodes_(std::move(nodes)), to_all_(to_all), body_(std::move(body)) {
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
    due_ = true;
  }
  changed_.notify_all();
}

void Announcer::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    const bool last = stopping_;
    due_ = false;
    lock.unlock();
    AnnounceOnce();
    lock.lock();
    if (last) {
      return;
    }
    changed_.wait_for(lock, kAnnounceInterval,
                      [this] { return stopping_ || due_; });
  }
}

void Announcer::AnnounceOnce() {
  const std::string body = body_();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const bool accepted = Post(nodes_[node_ % nodes_.size()], body);
    if (accepted && !to_all_) {
      return;
    }
    ++node_;
  }
}

}  // namespace gooseberryrock::standin
