// One measured relation, such as processor time against the fan-out.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_MEASUREMENT_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_MEASUREMENT_H_

#include <functional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "slope_fit.h"

namespace gooseberryrock::capacity {

struct Measurement {
  std::string name;
  // What `x` counts.
  std::string x_unit;
  // Unit of `y`.
  std::string y_unit;
  std::vector<Point> points;
};

// Processor time of this process, all threads together.
Duration ProcessorTime();

// Processor time that `work` takes, in microseconds.
double Microseconds(const std::function<void()>& work);

// Bytes of heap in use.
double HeapBytes();

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_MEASUREMENT_H_
