// Asks the leader of the replicated log which version of the routes is the
// newest.

#include "route_confirmer.h"

#include <chrono>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/control/control_client.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

// Longer than an attempt at a VM that is no longer the leader.
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);

}  // namespace

RouteConfirmer::RouteConfirmer(ControlClient& client, Duration interval)
    : client_(client), interval_(interval) {
  if (interval_ > Duration::zero()) {
    thread_ = std::thread([this] { Run(); });
  }
}

RouteConfirmer::~RouteConfirmer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void RouteConfirmer::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    // Before the first attempt, so that a repeated one counts as older than it
    // is.
    const SteadyTime asked_at = BootTime();
    proto::ForwardRequest request;
    request.mutable_confirm_routes();
    const CallResult result = client_.Call(std::move(request), kCallTimeout);
    lock.lock();
    if (result.status == CallStatus::kDone &&
        result.reply.has_newest_routes()) {
      last_ = {result.reply.newest_routes().version(), asked_at};
    }
    stop_.wait_for(lock, interval_, [this] { return stopping_; });
  }
}

void RouteConfirmer::AnswerPoll(const proto::EntryPoll& poll,
                                proto::EntryPollReply& reply,
                                SteadyTime now) const {
  std::lock_guard lock(mutex_);
  if (last_.version == 0) {
    return;
  }
  using std::chrono::milliseconds;
  reply.set_confirmed_version(last_.version);
  // Rounded up: a confirmation must not look newer than it is.
  reply.set_confirmation_age_ms(static_cast<uint64_t>(
      std::chrono::ceil<milliseconds>(now - last_.at).count()));
  reply.set_poll_sent_us(poll.sent_us());
}

}  // namespace gooseberryrock::control
