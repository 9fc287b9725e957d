// Fits a straight line to measured points.

#include "slope_fit.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cmath>

namespace gooseberryrock::capacity {

namespace {

namespace acc = boost::accumulators;
using Mean = acc::accumulator_set<double, acc::stats<acc::tag::mean>>;

}  // namespace

SlopeFit FitSlope(const std::vector<Point>& points) {
  Mean x_values;
  Mean y_values;
  for (const Point& point : points) {
    x_values(point.x);
    y_values(point.y);
  }
  const double mean_x = acc::mean(x_values);
  const double mean_y = acc::mean(y_values);
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Point& point : points) {
    sum_xx += (point.x - mean_x) * (point.x - mean_x);
    sum_xy += (point.x - mean_x) * (point.y - mean_y);
  }
  SlopeFit fit;
  fit.slope = sum_xy / sum_xx;
  fit.intercept = mean_y - fit.slope * mean_x;
  if (points.size() > 2) {
    double squared_residuals = 0;
    for (const Point& point : points) {
      const double residual = point.y - fit.intercept - fit.slope * point.x;
      squared_residuals += residual * residual;
    }
    const auto degrees_of_freedom = static_cast<double>(points.size() - 2);
    fit.slope_error =
        std::sqrt(squared_residuals / degrees_of_freedom / sum_xx);
  }
  return fit;
}

}  // namespace gooseberryrock::capacity
