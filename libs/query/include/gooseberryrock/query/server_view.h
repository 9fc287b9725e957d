// Routing statistics of one replica of a shard. All estimates come from this
// node's own attempts, because load reports of servers may be outdated or
// wrong.

#ifndef GOOSEBERRYROCK_QUERY_SERVER_VIEW_H_
#define GOOSEBERRYROCK_QUERY_SERVER_VIEW_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ServerView {
  BackendServerId id;
  bool own_failure_domain = true;
  uint32_t slots = 1;
  // Attempts of this node in flight to the server.
  uint32_t outstanding = 0;
  // Moving average of the time from sending a subquery to its reply.
  Duration service_time = Duration::zero();
  // Moving average of the share of failed attempts, in [0, 1].
  double failure_rate = 0;
  // Moving average of the share of attempts, in [0, 1], that were cancelled or
  // given up after more than the estimated service time. Only a lower bound of
  // their service time is known.
  double hedge_loss_rate = 0;
  // Failed attempts since the last reply.
  uint32_t consecutive_failures = 0;
  // Until this time the server is used only if no other replica is available.
  SteadyTime backoff_until;
  // Time of the last end of an attempt, or of the first send while idle.
  SteadyTime last_activity;
  // Maximum number of attempts in flight, at least 1. Reset to 1 when the
  // server restarts, then adjusted to the observed service time.
  double window = 1;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_VIEW_H_
