// Statistics about a backend server.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_STATS_H_
#define GOOSEBERRYROCK_RELAY_SERVER_STATS_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/load_report.h"

namespace gooseberryrock::relay {

struct RelayPolicy;

struct ServerStats {
  // Moving average of the reply time relative to the typical time of the
  // service; at least 0.5.
  double slowness = 1;
  // Moving average of the fraction of attempts that failed or were refused, in
  // [0, 1].
  double failure_share = 0;
  // When `slowness` was last updated.
  SteadyTime sampled_at;
  // Attempts in flight, and those of them that are overdue. An attempt counts
  // until the server replies or its connection is closed, even if its reply is
  // no longer needed.
  uint32_t outstanding = 0;
  uint32_t overdue = 0;
  // When an attempt became overdue while no other was, and when the server last
  // replied.
  SteadyTime overdue_since;
  SteadyTime replied_at;
  // Moving average of the fraction of attempts that were refused, in [0, 1],
  // and when it was last updated.
  double refusal_share = 0;
  SteadyTime refusals_at;
  // Number of running and queued requests that the server reported.
  uint32_t reported_load = 0;
  SteadyTime reported_at;
  LoadReport report;
  // Connections that could not be opened or ended without a reply, and attempts
  // that were abandoned, since the last reply.
  uint32_t consecutive_failures = 0;
  // When a failed server gets one attempt as a probe.
  SteadyTime next_probe;
};

enum class AttemptResult {
  kAnswered,
  // The server reported that it did not execute the request.
  kRefused,
  // The server reported a failure.
  kServerError,
  // The connection could not be opened, or ended without a complete reply.
  kLost,
  // The connection was closed because no reply arrived.
  kSilent,
};

// Whether other servers are preferred: the server has overdue attempts, or
// failed and is not yet due for a probe.
bool IsSuspect(const ServerStats& stats, SteadyTime now);

// Whether attempts are overdue and the server has been silent for at least
// `target_latency` since. Pauses of 120 ms are shorter than that and the time
// until an attempt is overdue together.
bool IsStalled(const ServerStats& stats,
               Duration target_latency,
               SteadyTime now);

// The fraction of attempts that the server refuses, decayed with its age.
double RefusalShareAt(const ServerStats& stats, SteadyTime now);

// Records that another attempt is overdue.
void RecordOverdue(ServerStats& stats, SteadyTime now);

// Records the result of an attempt. `typical` is the typical reply time for
// such a request at the service.
void RecordResult(ServerStats& stats,
                  const RelayPolicy& policy,
                  AttemptResult result,
                  SteadyTime sent_at,
                  Duration typical,
                  SteadyTime now);

// Records the load that a reply states, after RecordResult() and with the reply
// no longer outstanding.
void RecordLoad(ServerStats& stats, const ServerLoad& load, SteadyTime now);

// The slowness that the server states, corrected by its persistent speed. For a
// server that states none, the measured one, decayed towards 1 with the age of
// the measurement.
double SlownessAt(const ServerStats& stats,
                  const RelayPolicy& policy,
                  SteadyTime now);

// Estimated number of requests at the server.
double LoadAt(const ServerStats& stats,
              const RelayPolicy& policy,
              SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_STATS_H_
