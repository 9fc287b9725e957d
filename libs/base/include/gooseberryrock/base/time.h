// Time types used in all interfaces.

#ifndef GOOSEBERRYROCK_BASE_TIME_H_
#define GOOSEBERRYROCK_BASE_TIME_H_

#include <chrono>

namespace gooseberryrock {

using Duration = std::chrono::nanoseconds;
// For timeouts, leases and expiry: monotonic, but not comparable across VMs.
using SteadyTime = std::chrono::steady_clock::time_point;
// For the lifetime of request ids: comparable across VMs, but may be set back.
using WallTime = std::chrono::system_clock::time_point;

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_TIME_H_
