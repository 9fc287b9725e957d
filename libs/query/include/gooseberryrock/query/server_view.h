// What routing knows of one replica of a shard. All estimates come from this
// node's own attempts: load reports of servers may be old or false.

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
  // Attempts of this node that the server has not answered.
  uint32_t outstanding = 0;
  // Moving estimate of the time from sending a subquery to its reply.
  Duration service_time = Duration::zero();
  // Moving share of failed attempts, in [0, 1].
  double failure_rate = 0;
  // Moving share of attempts that a hedge overtook, in [0, 1]. Their service
  // time is known only as a lower bound.
  double overtaken_rate = 0;
  // Attempts that failed since the last reply.
  uint32_t failures_in_a_row = 0;
  // The server gets no attempt before this time while another replica can.
  SteadyTime avoid_until;
  // When the last attempt ended, or when one was sent to the idle server.
  SteadyTime last_heard;
  // Attempts in flight that the server is trusted with, at least 1. It starts
  // at 1 after each start of the server and follows the observed service time.
  double window = 1;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_VIEW_H_
