// Decides which part of the work of a service leaves the failure domain.

#ifndef GOOSEBERRYROCK_RELAY_DOMAIN_CROSSING_H_
#define GOOSEBERRYROCK_RELAY_DOMAIN_CROSSING_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct DomainCrossing {
  // Fraction of the requests that leave the domain, in [0, 1].
  double share = 0;
  SteadyTime updated_at;
};

// Moves the share towards what the servers of the domain lack. `own` is the
// cost of the best of them, `other` that of the best server elsewhere including
// `crossing`, the cost of leaving the domain. The share follows with the time
// constant `damping`, so that the nodes of a domain, which learn of a queue at
// the same time, do not leave and return together.
void UpdateCrossing(DomainCrossing& state,
                    Duration own,
                    Duration other,
                    Duration crossing,
                    Duration damping,
                    SteadyTime now);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_DOMAIN_CROSSING_H_
