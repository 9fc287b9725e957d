// What routing knows of one replica of a shard.

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
  // Queue length from the server's last reply.
  uint32_t reported_queue = 0;
  // Moving estimate of the time that the server needs for one subquery.
  Duration service_time = Duration::zero();
  // Moving share of failed attempts, in [0, 1].
  double failure_rate = 0;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_VIEW_H_
