// The request rate that a cold backend server takes.

#include "gooseberryrock/relay/cold_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gooseberryrock::relay {

namespace {

using Seconds = std::chrono::duration<double>;

// Part of the rate, and requests beyond it, that may be sent at once. A fifth
// of the rule is left for nodes that are cut off.
constexpr double kBurstSeconds = 0.1;
constexpr double kBurstRequests = 3.5;

double TokensAt(const ColdLimit& limit, SteadyTime now) {
  const double added = limit.share.requests_per_second *
                       Seconds(now - limit.refilled_at).count();
  return std::min<double>(limit.tokens + std::max(added, 0.0),
                          limit.share.burst);
}

void Refill(ColdLimit& limit, SteadyTime now) {
  limit.tokens = TokensAt(limit, now);
  limit.refilled_at = now;
}

}  // namespace

uint32_t ColdBurst(double per_second) {
  constexpr double kMaxBurst = 1e6;
  return static_cast<uint32_t>(std::min(
      std::floor(per_second * kBurstSeconds + kBurstRequests), kMaxBurst));
}

ColdShare ColdShareOf(double per_second, uint32_t burst) {
  return {per_second * burst / ColdBurst(per_second), burst};
}

void LimitCold(ColdLimit& limit, const ColdShare& share, SteadyTime now) {
  if (limit.is_on) {
    Refill(limit, now);
  } else {
    limit.is_on = true;
    limit.tokens = 0;
    limit.refilled_at = now;
  }
  limit.share = share;
  limit.tokens = std::min<double>(limit.tokens, share.burst);
}

void LiftCold(ColdLimit& limit) {
  limit = {};
}

bool HasPart(const ColdLimit& limit) {
  return !limit.is_on || limit.share.burst > 0;
}

bool MaySend(const ColdLimit& limit, SteadyTime now) {
  return !limit.is_on || TokensAt(limit, now) >= 1;
}

SteadyTime NextSendTime(const ColdLimit& limit, SteadyTime now) {
  if (MaySend(limit, now)) {
    return now;
  }
  if (limit.share.burst == 0 || limit.share.requests_per_second <= 0) {
    return SteadyTime::max();
  }
  // Rounded up: the request may be sent at the returned time.
  const Seconds wait((1 - TokensAt(limit, now)) /
                     limit.share.requests_per_second);
  return now + std::chrono::ceil<Duration>(wait);
}

void CountSend(ColdLimit& limit, SteadyTime now) {
  if (limit.is_on) {
    Refill(limit, now);
    limit.tokens -= 1;
  }
}

}  // namespace gooseberryrock::relay
