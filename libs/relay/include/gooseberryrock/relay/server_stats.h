// What a node has measured of one backend server.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_STATS_H_
#define GOOSEBERRYROCK_RELAY_SERVER_STATS_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct RelayPolicy;

struct ServerStats {
  // Reply time over the typical time of the service; at least 0.5.
  double slowness = 1;
  // Moving share of the attempts that failed or were refused, in [0, 1].
  double failure_share = 0;
  // When a reply was last counted in the two above.
  SteadyTime counted_at;
  // Attempts without a reply, and those of them beyond the usual time. An
  // attempt counts until the server replies or its connection is closed, also
  // when no one waits for it any more.
  uint32_t outstanding = 0;
  uint32_t overdue = 0;
  // Requests that the server reported as running or waiting.
  uint32_t reported_load = 0;
  SteadyTime reported_at;
  // Connections that could not be opened or ended without a reply, and attempts
  // given up, since the last reply.
  uint32_t failures_in_row = 0;
  // A server that failed gets one attempt from this time on.
  SteadyTime next_probe;
};

enum class AttemptResult {
  kAnswered,
  // The server said that it did not run the request.
  kRefused,
  // The server replied that it failed.
  kServerError,
  // The connection could not be opened, or ended without a whole reply.
  kLost,
  // No reply came for so long that the connection was closed.
  kSilent,
};

// Whether attempts should go to other servers: it does not respond, or failed
// and is not due for another try.
bool IsSuspect(const ServerStats& stats, SteadyTime now);

// `elapsed` counts from sending, `typical` is the usual time of such a request
// at the service.
void RecordResult(ServerStats& stats,
                  const RelayPolicy& policy,
                  AttemptResult result,
                  SteadyTime sent_at,
                  Duration typical,
                  SteadyTime now);

// `load` requests were running or waiting when the server replied.
void RecordLoad(ServerStats& stats, uint32_t load, SteadyTime now);

// The slowness, drawn towards 1 as the measurement ages.
double SlownessAt(const ServerStats& stats,
                  const RelayPolicy& policy,
                  SteadyTime now);

// Requests that the server is taken to hold now.
double LoadAt(const ServerStats& stats,
              const RelayPolicy& policy,
              SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_STATS_H_
