// Distributes the requests of a route among services by weight.

#include "gooseberryrock/relay/weighted_choice.h"

#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::relay {

size_t ChooseWeighted(const routes::WeightedTarget& target,
                      WeightedCredits& credits) {
  credits.credits.resize(target.services.size(), 0);
  int64_t total = 0;
  size_t best = 0;
  for (size_t i = 0; i < target.services.size(); ++i) {
    const int64_t weight = target.services[i].weight;
    credits.credits[i] += weight;
    total += weight;
    if (credits.credits[i] > credits.credits[best]) {
      best = i;
    }
  }
  credits.credits[best] -= total;
  return best;
}

}  // namespace gooseberryrock::relay
