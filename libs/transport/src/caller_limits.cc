// Decisions about connections of callers outside our control.

#include "gooseberryrock/transport/caller_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace gooseberryrock::transport {

namespace {

// Memory of a connection without a request: its session and its entry in the
// event loop.
constexpr size_t kConnectionBytes = size_t{2} << 10U;
constexpr size_t kReservedDescriptors = 64;

double SizeAndAge(size_t bytes, Duration age) {
  // Keeps the sizes of connections that have just started comparable.
  constexpr Duration kMinAge = std::chrono::milliseconds(1);
  return static_cast<double>(bytes) *
         static_cast<double>((age + kMinAge).count());
}

}  // namespace

std::optional<size_t> ChooseToRefuse(const std::vector<ConnectionUse>& uses,
                                     size_t limit) {
  size_t total = 0;
  size_t heavy = 0;
  std::optional<size_t> greatest;
  std::optional<size_t> greatest_heavy;
  const auto is_greater = [&uses](size_t i, const std::optional<size_t>& than) {
    return !than || SizeAndAge(uses[i].bytes, uses[i].age) >
                        SizeAndAge(uses[*than].bytes, uses[*than].age);
  };
  for (size_t i = 0; i < uses.size(); ++i) {
    if (uses[i].bytes == 0) {
      continue;
    }
    total += uses[i].bytes;
    if (is_greater(i, greatest)) {
      greatest = i;
    }
    if (uses[i].bytes > kLightBytes || uses[i].age > kLightAge) {
      heavy += uses[i].bytes;
      if (is_greater(i, greatest_heavy)) {
        greatest_heavy = i;
      }
    }
  }
  if (static_cast<double>(heavy) > kHeavyShare * static_cast<double>(limit)) {
    return greatest_heavy;
  }
  return total > limit ? greatest : std::nullopt;
}

std::optional<size_t> ChooseToClose(const std::vector<ConnectionUse>& uses,
                                    const ConnectionLimits& limits,
                                    size_t newest) {
  const std::string& address = uses[newest].address;
  const auto of_address = static_cast<size_t>(std::count_if(
      uses.begin(), uses.end(),
      [&](const ConnectionUse& it) { return it.address == address; }));
  const bool address_full =
      limits.per_address > 0 && of_address > limits.per_address;
  if (!address_full && (limits.total == 0 || uses.size() <= limits.total)) {
    return std::nullopt;
  }
  std::optional<size_t> chosen;
  double greatest = -1;
  for (size_t i = 0; i < uses.size(); ++i) {
    const double use =
        SizeAndAge(uses[i].bytes + kConnectionBytes, uses[i].age);
    if (i != newest && use > greatest &&
        (!address_full || uses[i].address == address)) {
      chosen = i;
      greatest = use;
    }
  }
  return chosen ? chosen : newest;
}

bool IsTooSlow(size_t bytes, Duration elapsed, const MinRate& rate) {
  if (elapsed <= rate.grace) {
    return false;
  }
  const double s = std::chrono::duration<double>(elapsed - rate.grace).count();
  return static_cast<double>(bytes) <
         s * static_cast<double>(rate.bytes_per_second);
}

ConnectionLimits DeriveConnectionLimits(size_t descriptors,
                                        const ConnectionLimits& configured) {
  const size_t reserved = descriptors / 4 + kReservedDescriptors;
  ConnectionLimits limits = configured;
  if (limits.total == 0) {
    limits.total = descriptors > reserved ? descriptors - reserved : 1;
  }
  if (limits.per_address == 0) {
    limits.per_address = std::max<size_t>(limits.total - limits.total / 8, 1);
  }
  return limits;
}

size_t DescriptorLimit() {
  // Enough for a deployment of the smallest size, if the limit is not known.
  constexpr size_t kDefault = 1024;
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : kDefault;
}

}  // namespace gooseberryrock::transport
