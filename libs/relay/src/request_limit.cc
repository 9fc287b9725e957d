// The request rate that a backend server accepts.

#include "gooseberryrock/relay/request_limit.h"

namespace gooseberryrock::relay {

void RecordLimit(RequestLimit& limit,
                 std::optional<double> per_second,
                 SteadyTime sent_at,
                 SteadyTime now) {
  if (per_second) {
    limit.per_second = per_second;
    limit.named_at = now;
  } else if (sent_at >= limit.named_at) {
    limit.per_second.reset();
  }
}

}  // namespace gooseberryrock::relay
