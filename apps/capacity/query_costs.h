// Costs of the query path against stand-in backend servers.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_

#include <cstdint>
#include <vector>

#include "measurement.h"

namespace gooseberryrock::capacity {

// Encoding of subqueries and decoding of replies, without a network.
std::vector<Measurement> MeasureCodecs();

// Processor time of this process for one query against its fan-out. `ports` are
// those of stand-ins on 127.0.0.1; stand-in n serves the shard "s<n>".
Measurement MeasureFanOut(const std::vector<uint16_t>& ports);

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_QUERY_COSTS_H_
