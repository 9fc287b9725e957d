// Fits a straight line to measured points.

#ifndef GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_
#define GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_

#include <vector>

namespace gooseberryrock::capacity {

struct Point {
  double x = 0;
  double y = 0;
};

// Least squares fit of y = intercept + slope * x.
struct SlopeFit {
  double intercept = 0;
  double slope = 0;
  // Standard error of the slope; 0 for fewer than three points.
  double slope_error = 0;
};

SlopeFit FitSlope(const std::vector<Point>& points);

}  // namespace gooseberryrock::capacity

#endif  // GOOSEBERRYROCK_APPS_CAPACITY_SLOPE_FIT_H_
