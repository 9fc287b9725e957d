// The clock for leases and timeouts.

#include "gooseberryrock/base/clock.h"

#include <time.h>

namespace gooseberryrock {

SteadyTime BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace gooseberryrock
