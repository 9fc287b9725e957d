// The operator's limit on hedges and retries.

#ifndef GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_

#include <chrono>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

// Applies to each service, across all entry nodes. The defaults fit the
// smallest deployment.
struct ExtraAttemptLimit {
  // Extra attempts allowed, as a fraction of the requests for the service.
  double share = 0.2;
  // Additional attempts allowed in any `window`.
  double attempts = 52;
  Duration window = std::chrono::seconds(10);
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
