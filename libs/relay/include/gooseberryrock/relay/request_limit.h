// The request rate that a backend server accepts from all entry nodes together,
// as the server names it in its replies.

#ifndef GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_

#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct RequestLimit {
  // Requests per second; empty while the server names no limit.
  std::optional<double> per_second;
  // Arrival of the last reply that named the limit.
  SteadyTime named_at;
};

// Records whether a reply named a limit. A reply without one lifts the limit
// unless its request was sent before the limit was last named: replies may
// arrive out of order.
void RecordLimit(RequestLimit& limit,
                 std::optional<double> per_second,
                 SteadyTime sent_at,
                 SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_REQUEST_LIMIT_H_
