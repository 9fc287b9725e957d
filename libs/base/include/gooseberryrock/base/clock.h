// The clock for leases and timeouts.

#ifndef GOOSEBERRYROCK_BASE_CLOCK_H_
#define GOOSEBERRYROCK_BASE_CLOCK_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock {

// Returns the time since the VM booted. Unlike std::chrono::steady_clock it
// includes the time for which the VM was suspended, so that a lease has expired
// when a suspended VM resumes. Monotonic.
SteadyTime BootTime();

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_CLOCK_H_
