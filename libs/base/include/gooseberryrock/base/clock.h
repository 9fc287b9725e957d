// The clock of leases and timeouts.

#ifndef GOOSEBERRYROCK_BASE_CLOCK_H_
#define GOOSEBERRYROCK_BASE_CLOCK_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock {

// The time since the VM started. Unlike std::chrono::steady_clock it also
// counts the time during which the VM was suspended, so that a lease is over
// when a suspended VM goes on. Never set back.
SteadyTime BootTime();

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_CLOCK_H_
