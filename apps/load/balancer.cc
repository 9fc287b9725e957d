// Simulates the platform's load balancer.

#include "balancer.h"

#include <charconv>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::load {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
constexpr int kHttpOk = 200;

NodeAddress ParseAddress(const std::string& text) {
  NodeAddress address;
  const size_t colon = text.rfind(':');
  address.host = text.substr(0, colon);
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  address.port);
  return address;
}

bool IsReady(const NodeAddress& address) {
  http::HttpCall call;
  call.host = address.host;
  call.port = address.port;
  call.method = "GET";
  call.path = "/readyz";
  call.timeout = kCheckInterval;
  try {
    return http::Execute(call).status == kHttpOk;
  } catch (const http::HttpError&) {
    return false;
  }
}

}  // namespace

Balancer::Balancer(const std::vector<std::string>& nodes) {
  for (const std::string& node : nodes) {
    nodes_.push_back({ParseAddress(node)});
  }
  CheckAllNodes();
  thread_ = std::thread([this] { Run(); });
}

Balancer::~Balancer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  thread_.join();
}

std::optional<NodeAddress> Balancer::Pick() {
  std::lock_guard lock(mutex_);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[next_++ % nodes_.size()];
    if (node.ready) {
      return node.address;
    }
  }
  return std::nullopt;
}

void Balancer::CheckAllNodes() {
  for (Node& node : nodes_) {
    const bool ready = IsReady(node.address);
    std::lock_guard lock(mutex_);
    node.ready = ready;
  }
}

void Balancer::Run() {
  std::unique_lock lock(mutex_);
  while (
      !stopped_.wait_for(lock, kCheckInterval, [this] { return stopping_; })) {
    lock.unlock();
    CheckAllNodes();
    lock.lock();
  }
}

}  // namespace gooseberryrock::load
