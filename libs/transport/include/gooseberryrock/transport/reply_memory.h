// Bounds the memory that the replies on one I/O thread take together, from the
// first byte that arrives from a backend server to the last one that is written
// to a caller.
//
// Each use of memory is a reservation and belongs to a holder, such as a
// backend server. When the limit is exceeded, the holder with the most memory
// loses the reservation with the greatest product of size and age. A server
// that sends without end, or stops in the middle, thus loses its own replies
// before those of others are affected, and so do callers that do not read.

#ifndef GOOSEBERRYROCK_TRANSPORT_REPLY_MEMORY_H_
#define GOOSEBERRYROCK_TRANSPORT_REPLY_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gooseberryrock::transport {

class MemoryReservation;

// Used on one thread only, except for used() and given_up(). Must outlive its
// reservations.
class ReplyMemory {
 public:
  // `limit` is in bytes.
  explicit ReplyMemory(size_t limit) : limit_(limit) {}
  ReplyMemory(const ReplyMemory&) = delete;
  ReplyMemory& operator=(const ReplyMemory&) = delete;

  // Bytes in use. Thread-safe.
  size_t used() const { return used_; }
  // Number of reservations that were given up. Thread-safe.
  uint64_t given_up() const { return given_up_; }

 private:
  friend class MemoryReservation;

  struct Holder {
    size_t used = 0;
    std::set<MemoryReservation*> reservations;
  };

  void GiveUpExcess();

  const size_t limit_;
  // Sum of `used` of all holders.
  std::atomic<size_t> used_ = 0;
  std::atomic<uint64_t> given_up_ = 0;
  // Only holders with a reservation.
  std::map<std::string, Holder> holders_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_REPLY_MEMORY_H_
