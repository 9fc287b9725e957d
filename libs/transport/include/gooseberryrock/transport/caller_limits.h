// Decisions about connections of callers outside our control: which one is
// refused when they take too much memory, which one is closed when there are
// too many, and which ones are too slow. Without network and clock.

#ifndef GOOSEBERRYROCK_TRANSPORT_CALLER_LIMITS_H_
#define GOOSEBERRYROCK_TRANSPORT_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::transport {

// The use that one connection makes of the process.
struct ConnectionUse {
  // Memory of its head, body and requests that wait.
  size_t bytes = 0;
  // Since the start of its request, or since it became idle.
  Duration age = Duration::zero();
  // IP address of the caller.
  std::string address;
};

// 0 means no limit.
struct ConnectionLimits {
  size_t total = 0;
  size_t per_address = 0;
};

// Slowest rate at which a caller may send a body or take an answer, after a
// grace period.
struct MinRate {
  Duration grace = std::chrono::seconds(5);
  size_t bytes_per_second = 1024;
};

// A connection that holds at most this much, the size of the largest head and a
// small body, and no longer than kLightAge is an ordinary one.
inline constexpr size_t kLightBytes = size_t{32} << 10U;
inline constexpr Duration kLightAge = std::chrono::seconds(1);
// The other connections may take this share of the memory together, so that a
// crowd leaves the rest to ordinary ones.
inline constexpr double kHeavyShare = 0.75;

// Returns the index of the connection that must give up its memory, the one
// with the greatest product of size and age; nullopt if none must. `limit` is
// in bytes.
std::optional<size_t> ChooseToRefuse(const std::vector<ConnectionUse>& uses,
                                     size_t limit);

// Returns the index of the connection to close before the connection `newest`,
// which is one of `uses`, can stay; nullopt if the limits are kept. An idle
// connection counts as if it held a little memory.
std::optional<size_t> ChooseToClose(const std::vector<ConnectionUse>& uses,
                                    const ConnectionLimits& limits,
                                    size_t newest);

// Whether a caller that sent or took `bytes` in `elapsed` is too slow.
bool IsTooSlow(size_t bytes, Duration elapsed, const MinRate& rate);

// Limit on the connections to an interface that few callers use, such as the
// one for metrics.
inline constexpr ConnectionLimits kFewConnections = {16, 0};

// Limits for callers of a process with `descriptors`: a quarter and 64 are kept
// for servers, control VMs, operators and files, and an eighth of the rest for
// callers of other addresses than the greatest one. Values of `configured` that
// are not 0 are kept.
ConnectionLimits DeriveConnectionLimits(size_t descriptors,
                                        const ConnectionLimits& configured);

// The limit of this process on open descriptors.
size_t DescriptorLimit();

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_CALLER_LIMITS_H_
