// Incarnation number of a process.

#include "gooseberryrock/peer/incarnation.h"

#include <chrono>

namespace gooseberryrock::peer {

uint64_t MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace gooseberryrock::peer
