// Token bucket that is refilled per first attempt and, optionally, per second.

#include "gooseberryrock/query/attempt_budget.h"

#include <algorithm>
#include <chrono>

namespace gooseberryrock::query {

void EarnBudget(AttemptBudget& budget, double first_attempts) {
  budget.tokens =
      std::min(budget.capacity, budget.tokens + budget.share * first_attempts);
}

void RefillBudget(AttemptBudget& budget, SteadyTime now) {
  const std::chrono::duration<double> passed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.tokens = std::min(budget.capacity,
                           budget.tokens + budget.per_second * passed.count());
}

bool SpendBudget(AttemptBudget& budget) {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace gooseberryrock::query
