// What a backend server says of itself in its replies: that it leaves, or that
// it rests for some time. An I/O shard learns it from the replies that it
// reads, and from the other I/O shards of its node.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_NOTICES_H_
#define GOOSEBERRYROCK_RELAY_SERVER_NOTICES_H_

#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct ServerNotices {
  // Set for the rest of the incarnation: a server that leaves does not come
  // back, whatever it announces.
  std::optional<SteadyTime> leaving_since;
  // The server wants no requests before. Stays set after that until a reply
  // shows that the server works again.
  std::optional<SteadyTime> rests_until;
};

// Records that the server wants no requests for `duration`, which is limited.
// Extends an earlier rest, but does not shorten it.
void RecordRest(ServerNotices& notices, Duration duration, SteadyTime now);

// Records a reply to a request that was sent at `sent_at` and named no rest.
void RecordAwake(ServerNotices& notices, SteadyTime sent_at);

bool IsResting(const ServerNotices& notices, SteadyTime now);

// Whether the rest has ended but no reply has shown that the server works. It
// gets one request at a time, so that its return is not a rush.
bool IsReturning(const ServerNotices& notices, SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_NOTICES_H_
