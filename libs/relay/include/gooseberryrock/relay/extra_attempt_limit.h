// What the operator allows beyond the first attempt of each request.

#ifndef GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
#define GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_

namespace gooseberryrock::relay {

// Holds for each service and all entry nodes together, in any 10 s. The
// defaults are those of today's smallest deployment.
struct ExtraAttemptLimit {
  // Of the requests for the service.
  double share = 0.2;
  // Attempts beyond that.
  double attempts = 52;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_EXTRA_ATTEMPT_LIMIT_H_
