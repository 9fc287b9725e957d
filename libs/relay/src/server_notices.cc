// What a backend server says of itself in its replies.

#include "gooseberryrock/relay/server_notices.h"

#include <algorithm>

namespace gooseberryrock::relay {

namespace {

// A server that wants nothing for longer than this has to say so again: one
// wrong reply must not take it out for hours.
constexpr Duration kMaxRest = std::chrono::minutes(5);

}  // namespace

void RecordRest(ServerNotices& notices, Duration duration, SteadyTime now) {
  if (duration <= Duration::zero()) {
    return;
  }
  const SteadyTime until = now + std::min(duration, kMaxRest);
  notices.rests_until = std::max(notices.rests_until.value_or(until), until);
}

void RecordAwake(ServerNotices& notices, SteadyTime sent_at) {
  if (notices.rests_until && sent_at >= *notices.rests_until) {
    notices.rests_until.reset();
  }
}

bool IsResting(const ServerNotices& notices, SteadyTime now) {
  return notices.rests_until && now < *notices.rests_until;
}

bool IsReturning(const ServerNotices& notices, SteadyTime now) {
  return notices.rests_until && now >= *notices.rests_until;
}

}  // namespace gooseberryrock::relay
