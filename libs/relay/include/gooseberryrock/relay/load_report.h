// What a backend server states about its present slowness, and how far the
// statements agree with the reply times that the node observes.

#ifndef GOOSEBERRYROCK_RELAY_LOAD_REPORT_H_
#define GOOSEBERRYROCK_RELAY_LOAD_REPORT_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/server_load.h"

namespace gooseberryrock::relay {

struct RelayPolicy;

struct LoadReport {
  // The last report.
  ServerLoad load;
  SteadyTime reported_at;
  // Attempts of this I/O shard in flight at that time.
  uint32_t outstanding_then = 0;
  // Moving average of the requests of others that the reports count.
  double usual_others = 0;
  // Moving average of the observed time relative to the typical one, divided by
  // the slowness and the queue that the server stated. In [0.6, 3].
  double speed_factor = 1;
  // Number of samples in `speed_factor`, up to a limit.
  uint32_t samples = 0;
  // When the last sample arrived.
  SteadyTime sampled_at;
  // Moving average of the fraction of replies that took much longer than the
  // server's statements say, in [0, 1].
  double doubt = 0;
};

// Whether the last reply stated a slowness and the policy uses it. All other
// servers are judged by observed times alone.
bool IsStated(const LoadReport& report, const RelayPolicy& policy);

// Records what a reply states, while `outstanding` other attempts are in
// flight.
void RecordReport(LoadReport& report,
                  const ServerLoad& load,
                  uint32_t outstanding,
                  SteadyTime now);

// Compares the time of an answer with the last report, which came with it.
// `typical` is the typical reply time for such a request at the service.
void RecordObservedTime(LoadReport& report,
                        SteadyTime sent_at,
                        Duration typical,
                        SteadyTime now);

// How far the statements are believed, in [0, 1].
double TrustIn(const LoadReport& report);

// The time that work takes relative to the typical time: the persistent speed
// corrected by the statement, which fades with its age. `observed` is the
// slowness by observed times alone; it counts, if it is the higher one, as far
// as the statements are not believed.
double StatedSlowness(const LoadReport& report,
                      const RelayPolicy& policy,
                      double observed,
                      SteadyTime now);

// Number of requests at the server: those of this I/O shard, and those of
// others. What the report counts of these fades with its age to their usual
// number, and that with the half-life of observed slowness.
double StatedRequests(const LoadReport& report,
                      const RelayPolicy& policy,
                      uint32_t outstanding,
                      SteadyTime now);

// Number of requests that the server executes concurrently, at most `announced`
// because a server with more slots attracts more work.
uint32_t StatedSlots(const LoadReport& report, uint32_t announced);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_LOAD_REPORT_H_
