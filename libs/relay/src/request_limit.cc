// The request rate that a backend server accepts.

#include "gooseberryrock/relay/request_limit.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace gooseberryrock::relay {

namespace {

using Seconds = std::chrono::duration<double>;

// Rate that is used, over all nodes, for servers that accept less: only a reply
// can show that a limit has ended.
constexpr double kMinPerSecond = 0.5;
// Time for which unused requests accumulate. Requests do not arrive evenly, and
// a server takes a burst of this length.
constexpr Seconds kBurst = std::chrono::seconds(1);
// Part of a full burst that is left for more urgent requests; indexed by rank.
constexpr std::array<double, kRankCount> kReservedShare = {0, 0.2, 0.4};

// Requests per second that this I/O shard may send.
double Rate(const RequestLimit& limit) {
  return std::max(*limit.per_second, kMinPerSecond) * limit.share;
}

double Capacity(const RequestLimit& limit) {
  return std::max(1.0, Rate(limit) * kBurst.count());
}

double TokensAt(const RequestLimit& limit, SteadyTime now) {
  const double added = Rate(limit) * Seconds(now - limit.refilled_at).count();
  return std::min(limit.tokens + std::max(added, 0.0), Capacity(limit));
}

void Refill(RequestLimit& limit, SteadyTime now) {
  if (limit.per_second) {
    limit.tokens = TokensAt(limit, now);
    limit.refilled_at = now;
  }
}

double NeededTokens(const RequestLimit& limit, Rank rank) {
  return 1 + kReservedShare[RankIndex(rank)] * (Capacity(limit) - 1);
}

// Whether the limit that the server names allows a request.
bool MaySendAsNamed(const RequestLimit& limit, Rank rank, SteadyTime now) {
  return !limit.per_second || TokensAt(limit, now) >= NeededTokens(limit, rank);
}

}  // namespace

void RecordLimit(RequestLimit& limit,
                 std::optional<double> per_second,
                 SteadyTime sent_at,
                 SteadyTime now) {
  if (!per_second) {
    if (sent_at >= limit.named_at) {
      limit.per_second.reset();
    }
    return;
  }
  if (limit.per_second) {
    Refill(limit, now);
  } else {
    // The requests that are on their way use up the first ones.
    limit.tokens = 0;
    limit.refilled_at = now;
  }
  limit.per_second = per_second;
  limit.named_at = now;
}

void SetLimitShare(RequestLimit& limit, double share, SteadyTime now) {
  Refill(limit, now);
  limit.share = share;
}

bool MaySend(const RequestLimit& limit, Rank rank, SteadyTime now) {
  return MaySend(limit.cold, now) && MaySendAsNamed(limit, rank, now);
}

SteadyTime NextSendTime(const RequestLimit& limit, Rank rank, SteadyTime now) {
  const SteadyTime cold_until = NextSendTime(limit.cold, now);
  if (MaySendAsNamed(limit, rank, now)) {
    return cold_until;
  }
  const Seconds wait((NeededTokens(limit, rank) - TokensAt(limit, now)) /
                     Rate(limit));
  return std::max(cold_until, now + std::chrono::duration_cast<Duration>(wait));
}

void CountSend(RequestLimit& limit, SteadyTime now) {
  CountSend(limit.cold, now);
  if (limit.per_second) {
    Refill(limit, now);
    limit.tokens -= 1;
  }
}

void TakeBackSend(RequestLimit& limit, SteadyTime now) {
  if (limit.per_second) {
    Refill(limit, now);
    limit.tokens = std::min(limit.tokens + 1, Capacity(limit));
  }
}

}  // namespace gooseberryrock::relay
