// Generates the requests of a load run with their planned send times.

#ifndef GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_
#define GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_

#include <string>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::load {

struct LoadOptions;

struct Arrival {
  // Send time relative to the start of the run.
  Duration offset = Duration::zero();
  Rank rank = Rank::kNormal;
  std::string tenant;
  std::string request_id;
  // Empty when the request addresses all shards.
  std::string routing_key;
  bool idempotent = true;
};

// Generates Poisson arrivals for each rank, sorted by send time. The result
// depends only on the options, which include the seed, except for the time
// stamps in the request ids, which depend on `start`.
std::vector<Arrival> PlanArrivals(const LoadOptions& options, WallTime start);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_SCHEDULE_H_
