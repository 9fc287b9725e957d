// Straight line through measured points.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_

#include <vector>

namespace gooseberryrock::capacity {

struct Point {
  double x = 0;
  double y = 0;
};

// y = intercept + slope * x by least squares.
struct SlopeFit {
  double intercept = 0;
  double slope = 0;
  // Standard error of the slope; zero for fewer than three points.
  double slope_error = 0;
};

SlopeFit FitSlope(const std::vector<Point>& points);

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_
