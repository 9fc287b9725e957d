// The request rate that a backend server accepts from all entry nodes together,
// as the server names it in its replies, and the part of it that an I/O shard
// may use.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_

#include <optional>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/cold_limit.h"

namespace gooseberryrock::relay {

struct RequestLimit {
  // Requests per second; empty while the server names no limit.
  std::optional<double> per_second;
  // Arrival of the last reply that named the limit.
  SteadyTime named_at;
  // The I/O shard's part of the limit. The parts of all I/O shards of all nodes
  // add up to about 1.
  double share = 1;
  // Requests that may be sent at `refilled_at`; more accumulate over time.
  double tokens = 0;
  SteadyTime refilled_at;
  // Holds as well, whether or not the server names a limit.
  ColdLimit cold;
};

// Records whether a reply named a limit. A reply without one lifts the limit
// unless its request was sent before the limit was last named: replies may
// arrive out of order.
void RecordLimit(RequestLimit& limit,
                 std::optional<double> per_second,
                 SteadyTime sent_at,
                 SteadyTime now);

// Sets the part of the limit that may be used.
void SetLimitShare(RequestLimit& limit, double share, SteadyTime now);

// Whether a request of `rank` may be sent. While requests are scarce, some are
// left for more urgent ranks.
bool MaySend(const RequestLimit& limit, Rank rank, SteadyTime now);

// Returns when a request of `rank` may be sent, if no other is sent before.
SteadyTime NextSendTime(const RequestLimit& limit, Rank rank, SteadyTime now);

// Counts a request that is about to be sent, and takes back one that was not
// sent after all.
void CountSend(RequestLimit& limit, SteadyTime now);
void TakeBackSend(RequestLimit& limit, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_
