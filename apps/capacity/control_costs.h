// Measures the costs of the control state: catalog, directory, claims and
// frames.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_CONTROL_COSTS_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_CONTROL_COSTS_H_

#include <vector>

#include "measurement.h"

namespace gooseberryrock::capacity {

std::vector<Measurement> MeasureControlCosts();

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_CONTROL_COSTS_H_
