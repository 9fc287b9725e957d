// Bounds the memory that the replies on one I/O thread take together.

#include "gooseberryrock/transport/reply_memory.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/transport/memory_reservation.h"

namespace gooseberryrock::transport {

namespace {

// Keeps the sizes of reservations that have just started comparable.
constexpr Duration kMinAge = std::chrono::milliseconds(1);

}  // namespace

void ReplyMemory::GiveUpExcess() {
  const SteadyTime now = BootTime();
  const auto size_and_age = [now](const MemoryReservation* it) {
    const Duration age = now - it->started_ + kMinAge;
    return static_cast<double>(it->size()) * static_cast<double>(age.count());
  };
  while (used_ > limit_) {
    const Holder& holder =
        std::max_element(holders_.begin(), holders_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.used < b.second.used;
                         })
            ->second;
    MemoryReservation& given_up = **std::max_element(
        holder.reservations.begin(), holder.reservations.end(),
        [&](const MemoryReservation* a, const MemoryReservation* b) {
          return size_and_age(a) < size_and_age(b);
        });
    const auto on_give_up = std::move(given_up.on_give_up_);
    given_up.End();
    ++given_up_;
    on_give_up();
  }
}

MemoryReservation::~MemoryReservation() {
  End();
}

void MemoryReservation::Start(ReplyMemory* memory,
                              const std::string& holder,
                              GiveUpHandler on_give_up) {
  End();
  if (memory != nullptr) {
    memory_ = memory;
    holder_ = holder;
    on_give_up_ = std::move(on_give_up);
    started_ = BootTime();
    memory->holders_[holder_].reservations.insert(this);
  }
}

bool MemoryReservation::Resize(size_t bytes) {
  if (memory_ == nullptr) {
    size_ = bytes;
    return true;
  }
  ReplyMemory& memory = *memory_;
  // Differences are negative when the size decreases; unsigned numbers wrap.
  memory.used_ += bytes - size_;
  memory.holders_.at(holder_).used += bytes - size_;
  size_ = bytes;
  memory.GiveUpExcess();
  return memory_ != nullptr;
}

void MemoryReservation::End() {
  if (memory_ != nullptr) {
    auto it = memory_->holders_.find(holder_);
    memory_->used_ -= size_;
    it->second.used -= size_;
    it->second.reservations.erase(this);
    if (it->second.reservations.empty()) {
      memory_->holders_.erase(it);
    }
  }
  memory_ = nullptr;
  size_ = 0;
  on_give_up_ = nullptr;
}

}  // namespace gooseberryrock::transport
