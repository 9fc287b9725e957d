// What the operator allows beyond the first attempt of each request.

#ifndef GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_

#include <chrono>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

// Holds for each service and all entry nodes together. The defaults are those
// of today's smallest deployment.
struct ExtraAttemptLimit {
  // Of the requests for the service.
  double share = 0.2;
  // Attempts beyond that, in any `window`.
  double attempts = 52;
  Duration window = std::chrono::seconds(10);
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
