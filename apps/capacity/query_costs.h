// Measures the costs of the query path with stand-in backend servers.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_

#include <cstdint>
#include <vector>

#include "measurement.h"

namespace gooseberryrock::capacity {

// Measures the decoding of subquery replies as JSON and as binary, without a
// network.
std::vector<Measurement> MeasureCodecs();

// Measures this process's processor time for one query as a function of the
// fan-out. `ports` are the ports of stand-ins on 127.0.0.1; stand-in n serves
// the shard "s<n>".
Measurement MeasureFanOut(const std::vector<uint16_t>& ports);

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_
