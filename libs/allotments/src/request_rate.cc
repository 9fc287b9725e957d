// Moving average of a request rate, from counts that arrive in portions.

#include "gooseberryrock/allotments/request_rate.h"

#include <algorithm>
#include <cmath>

namespace gooseberryrock::allotments {

double SecondsBetween(SteadyTime from, SteadyTime to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double RateAt(const RequestRate& rate, Duration period, SteadyTime now) {
  const double tau = std::chrono::duration<double>(period).count();
  return rate.per_second * std::exp(-SecondsBetween(rate.at, now) / tau);
}

void AddRequests(RequestRate& rate,
                 double requests,
                 Duration period,
                 SteadyTime now) {
  const double tau = std::chrono::duration<double>(period).count();
  rate.per_second = RateAt(rate, period, now) + requests / tau;
  rate.at = std::max(rate.at, now);
}

}  // namespace gooseberryrock::allotments
