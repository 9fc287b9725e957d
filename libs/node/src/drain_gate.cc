// Limits the queries in flight and refuses new ones during shutdown.

#include "gooseberryrock/node/drain_gate.h"

namespace gooseberryrock::node {

AdmissionResult DrainGate::Enter(size_t limit) {
  std::lock_guard lock(mutex_);
  if (refusing_) {
    return AdmissionResult::kStopping;
  }
  if (in_flight_ >= limit) {
    return AdmissionResult::kLimitReached;
  }
  ++in_flight_;
  return AdmissionResult::kAdmitted;
}

void DrainGate::Leave() {
  {
    std::lock_guard lock(mutex_);
    --in_flight_;
  }
  changed_.notify_all();
}

bool DrainGate::IsReady() const {
  std::lock_guard lock(mutex_);
  return ready_;
}

size_t DrainGate::InFlight() const {
  std::lock_guard lock(mutex_);
  return in_flight_;
}

void DrainGate::FailReady() {
  std::lock_guard lock(mutex_);
  ready_ = false;
}

void DrainGate::WaitBeforeRefusing(Duration wait) {
  std::unique_lock lock(mutex_);
  const SteadyTime until = std::chrono::steady_clock::now() + wait;
  changed_.wait_until(
      lock, until, [&] { return std::chrono::steady_clock::now() >= until; });
}

void DrainGate::RefuseNew() {
  std::lock_guard lock(mutex_);
  refusing_ = true;
}

void DrainGate::WaitUntilIdle() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return in_flight_ == 0; });
}

}  // namespace gooseberryrock::node
