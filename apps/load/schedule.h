// The requests of a run and the times at which they are sent.

#ifndef GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_
#define GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_

#include <string>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::load {

struct LoadOptions;

struct Arrival {
  // Since the start of the run.
  Duration offset = Duration::zero();
  Rank rank = Rank::kNormal;
  std::string tenant;
  std::string request_id;
  // Empty for a request to all shards.
  std::string routing_key;
  bool idempotent = true;
};

// Poisson arrivals of each rank, in order of time. Depends on the seed only,
// but for the time stamp in the request ids, which is `start`.
std::vector<Arrival> PlanArrivals(const LoadOptions& options, WallTime start);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_
