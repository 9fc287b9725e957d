// A part of the memory for replies.

#ifndef GOOSEBERRYROCK_TRANSPORT_MEMORY_RESERVATION_H_
#define GOOSEBERRYROCK_TRANSPORT_MEMORY_RESERVATION_H_

#include <cstddef>
#include <functional>
#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::transport {

class ReplyMemory;

class MemoryReservation {
 public:
  // Called when the reservation is given up and empty. Must free its memory, or
  // cause it to be freed soon, and must not use other reservations.
  using GiveUpHandler = std::function<void()>;

  MemoryReservation() = default;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation();

  // Starts an empty reservation of `holder`, instead of the current one.
  // Without `memory`, nothing is limited.
  void Start(ReplyMemory* memory,
             const std::string& holder,
             GiveUpHandler on_give_up);

  // Changes the size. If that exceeds the limit, reservations are given up,
  // possibly this one. Returns whether this one remains.
  bool Resize(size_t bytes);

  // Ends the reservation. The handler is not called.
  void End();

  size_t size() const { return size_; }

 private:
  friend class ReplyMemory;

  // Null without a reservation.
  ReplyMemory* memory_ = nullptr;
  std::string holder_;
  size_t size_ = 0;
  SteadyTime started_;
  GiveUpHandler on_give_up_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_MEMORY_RESERVATION_H_
