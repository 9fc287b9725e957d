// A token bucket that is filled by work instead of time.

#include "gooseberryrock/query/attempt_budget.h"

#include <algorithm>

namespace gooseberryrock::query {

void EarnBudget(AttemptBudget& budget, double first_attempts) {
  budget.tokens =
      std::min(budget.capacity, budget.tokens + budget.share * first_attempts);
}

bool SpendBudget(AttemptBudget& budget) {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace gooseberryrock::query
