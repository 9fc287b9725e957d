// The request rate that a cold backend server takes from all entry nodes
// together, and the part of it that an I/O shard may use.

#ifndef GOOSEBERRYROCK_RELAY_COLD_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_COLD_LIMIT_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

// The part of an I/O shard in the requests that a cold server takes.
struct ColdShare {
  double requests_per_second = 0;
  // Requests that may be sent at once. With 0 the server is used by other nodes
  // only.
  uint32_t burst = 0;

  bool operator==(const ColdShare&) const = default;
};

struct ColdLimit {
  // The server is cold and its service limits the requests to cold servers.
  bool is_on = false;
  ColdShare share;
  // Requests that may be sent at `refilled_at`; more accumulate over time.
  double tokens = 0;
  SteadyTime refilled_at;
};

// Requests that all nodes together may send at once to a cold server of a
// service that names the rate `per_second`. With `per_second` for each second
// they stay below 1.5 x `per_second` + 5, which is the rule, even if some
// nodes that have been cut off for long still use a quarter of their part.
uint32_t ColdBurst(double per_second);

// Returns the part of an I/O shard that has `burst` of the ColdBurst().
ColdShare ColdShareOf(double per_second, uint32_t burst);

// The server is cold; `share` is the part of it that may be used. Starts
// without tokens: the requests that are on their way use up the first ones.
void LimitCold(ColdLimit& limit, const ColdShare& share, SteadyTime now);

// The server is warm, or cold servers of its service take any rate.
void LiftCold(ColdLimit& limit);

// Whether the I/O shard may ever send a request while the server is cold.
bool HasPart(const ColdLimit& limit);

bool MaySend(const ColdLimit& limit, SteadyTime now);

// Returns when a request may be sent, if no other is sent before;
// SteadyTime::max() if none may be sent while the server is cold.
SteadyTime NextSendTime(const ColdLimit& limit, SteadyTime now);

// A request that was not sent after all is not taken back.
void CountSend(ColdLimit& limit, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_COLD_LIMIT_H_
