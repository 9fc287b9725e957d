// Moving average of a request rate, from counts that arrive in portions.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_REQUEST_RATE_H_
#define GOOSEBERRYROCK_ALLOTMENTS_REQUEST_RATE_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::allotments {

struct RequestRate {
  double per_second = 0;
  SteadyTime at;
};

// `period` is the time constant of the average.
void AddRequests(RequestRate& rate,
                 double requests,
                 Duration period,
                 SteadyTime now);
double RateAt(const RequestRate& rate, Duration period, SteadyTime now);

// Seconds from `from` to `to`; not negative.
double SecondsBetween(SteadyTime from, SteadyTime to);

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_REQUEST_RATE_H_
