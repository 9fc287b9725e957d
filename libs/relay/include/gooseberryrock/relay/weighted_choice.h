// Distributes the requests of a route among services by weight.

#ifndef GOOSEBERRYROCK_RELAY_WEIGHTED_CHOICE_H_
#define GOOSEBERRYROCK_RELAY_WEIGHTED_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberryrock::routes {
struct WeightedTarget;
}  // namespace gooseberryrock::routes

namespace gooseberryrock::relay {

// The current credit of each service, in the order of the target.
struct WeightedCredits {
  std::vector<int64_t> credits;
};

// Returns the index of the service for the next request. Smooth weighted round
// robin: after any number of requests the count of each service is within one
// of its share.
size_t ChooseWeighted(const routes::WeightedTarget& target,
                      WeightedCredits& credits);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_WEIGHTED_CHOICE_H_
