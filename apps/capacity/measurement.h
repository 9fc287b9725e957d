// Measured relation between two quantities, such as processor time and fan-out.

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
  // Unit of `x`, such as rows.
  std::string x_unit;
  // Unit of `y`, such as us.
  std::string y_unit;
  std::vector<Point> points;
};

// Returns the processor time of this process, summed over all threads.
Duration ProcessorTime();

// Runs `work` and returns the processor time that it takes, in microseconds.
double MeasureMicroseconds(const std::function<void()>& work);

// Returns the number of heap bytes in use.
double HeapBytes();

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_MEASUREMENT_H_
